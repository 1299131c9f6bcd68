"""Splits an event stream at event boundaries."""

from typing import Final

from pollenloom.core.event_buffer import EventBuffer

EVENT_ID: Final = b'id:'
EVENT_ID_LINE: Final = b'\nid:'
# An event holds a few tokens; a server that sends more without the end of an
# event sends no events.
MAX_EVENT_BYTES: Final = 262_144


class EventSplitter:
    """Buffers incomplete events so that only complete ones are relayed.

    Attributes:
        initial_event_id: Id of the event after which the stream starts; empty
            if it starts from its beginning.
        buffer: Start of an event whose end has not arrived.
        id_line: Last line with an id in the relayed events; None before one.
    """

    def __init__(self, last_event_id: str) -> None:
        self.initial_event_id = last_event_id
        self.buffer = EventBuffer()
        self.id_line: bytes | None = None

    def feed(self, part: bytes) -> bytes:
        """Add bytes of the stream; return the events that are complete."""
        events = self.buffer.feed(part)
        self.remember_id(events)
        return events

    def remember_id(self, events: bytes) -> None:
        """Keep the last line that has an event id."""
        start = events.rfind(EVENT_ID_LINE) + 1
        if events.startswith(EVENT_ID, start):
            self.id_line = events[start : events.find(b'\n', start)]

    @property
    def partial(self) -> bytearray:
        """Start of an event whose end has not arrived."""
        return self.buffer.partial

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event is longer than any event may be."""
        return len(self.partial) > MAX_EVENT_BYTES

    @property
    def last_event_id(self) -> str:
        """Id of the last event that was relayed."""
        if self.id_line is None:
            return self.initial_event_id
        event_id = self.id_line.removeprefix(EVENT_ID).partition(b'\r')[0]
        return event_id.removeprefix(b' ').decode('latin-1')

    def drop_partial(self) -> None:
        """Discard the start of an event that will not be completed."""
        self.partial.clear()
