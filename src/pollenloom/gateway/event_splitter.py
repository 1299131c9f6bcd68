"""Cuts a stream into whole events."""

import re
from typing import Final

EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
EVENT_ID: Final = re.compile(rb'(?m)^id: ?([^\r\n]*)')
USUAL_END: Final = b'\n\n'


class EventSplitter:
    """Passes on whole events, so that a broken stream ends between two.

    Attributes:
        rest: Begin of an event that is not whole.
        passed: Events that were passed on last.
    """

    def __init__(self, last_event: str) -> None:
        self.first_known = last_event
        self.rest = b''
        self.passed = b''

    def take(self, part: bytes) -> bytes:
        """Take bytes of the stream; return the whole events in them."""
        known = self.rest + part if self.rest else part
        if known.endswith(USUAL_END):
            end = len(known)
        else:
            end = 0
            for found in EVENT_END.finditer(known):
                end = found.end()
        events = known[:end]
        self.rest = known[end:]
        self.note(events)
        return events

    def note(self, events: bytes) -> None:
        """Keep what tells the id of the last event."""
        if events.startswith(b'id:') or b'\nid:' in events:
            self.passed = events

    @property
    def last_event(self) -> str:
        """Id of the last event that was passed on."""
        ids = EVENT_ID.findall(self.passed)
        return ids[-1].decode('latin-1') if ids else self.first_known

    def drop_rest(self) -> None:
        """Forget the begin of an event that will not be completed."""
        self.rest = b''
