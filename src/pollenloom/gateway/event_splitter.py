"""Splits an event stream at event boundaries."""

import re
from typing import Final

EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
EVENT_ID: Final = re.compile(rb'(?m)^id: ?([^\r\n]*)')
EVENT_END_LF: Final = b'\n\n'
# An event holds a few tokens; a server that sends more without the end of an
# event sends no events.
MAX_EVENT_BYTES: Final = 262_144


class EventSplitter:
    """Buffers incomplete events so that only complete ones are relayed.

    Attributes:
        initial_event_id: Id of the event after which the stream starts; empty
            if it starts from its beginning.
        partial: Start of an event whose end has not arrived.
        identified_events: Last relayed events that contain an id.
    """

    def __init__(self, last_event_id: str) -> None:
        self.initial_event_id = last_event_id
        self.partial = b''
        self.identified_events = b''

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes of the stream; return the events that are complete."""
        buffered = self.partial + chunk if self.partial else chunk
        if buffered.endswith(EVENT_END_LF):
            end = len(buffered)
        else:
            end = 0
            for found in EVENT_END.finditer(buffered):
                end = found.end()
        events = buffered[:end]
        self.partial = buffered[end:]
        self.remember_identified(events)
        return events

    def remember_identified(self, events: bytes) -> None:
        """Keep the events if they may contain an event id."""
        if events.startswith(b'id:') or b'\nid:' in events:
            self.identified_events = events

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event is longer than any event may be."""
        return len(self.partial) > MAX_EVENT_BYTES

    @property
    def last_event_id(self) -> str:
        """Id of the last event that was relayed."""
        ids = EVENT_ID.findall(self.identified_events)
        return ids[-1].decode('latin-1') if ids else self.initial_event_id

    def drop_partial(self) -> None:
        """Discard the start of an event that will not be completed."""
        self.partial = b''
