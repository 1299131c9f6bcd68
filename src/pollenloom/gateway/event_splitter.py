"""Cuts a stream into whole events."""

import re
from typing import Final

EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
EVENT_ID: Final = re.compile(rb'(?m)^id: ?([^\r\n]*)')


class EventSplitter:
    """Passes on whole events, so that a broken stream ends between two.

    Attributes:
        last_event: Id of the last event that was passed on.
        rest: Begin of an event that is not whole.
    """

    def __init__(self, last_event: str) -> None:
        self.last_event = last_event
        self.rest = b''

    def take(self, part: bytes) -> bytes:
        """Take bytes of the stream; return the whole events in them."""
        known = self.rest + part
        end = 0
        for found in EVENT_END.finditer(known):
            end = found.end()
        events = known[:end]
        self.rest = known[end:]
        ids = EVENT_ID.findall(events)
        if ids:
            self.last_event = ids[-1].decode('latin-1')
        return events

    def drop_rest(self) -> None:
        """Forget the begin of an event that will not be completed."""
        self.rest = b''
