"""Relays an event stream in complete events."""

from typing import Final

from pollenloom.core.event_buffer import (
    EVENT_END,
    EVENT_END_CRLF,
    EventBuffer,
)
from pollenloom.dispatch.caller_disconnected_error import (
    CallerDisconnectedError,
)
from pollenloom.dispatch.event_sink import EventSink

LAST_EVENT: Final = frozenset((b'data: [DONE]', b'data:[DONE]'))
# Bytes at the end of a piece that are searched for the last event, which is
# shorter, also with its line endings.
LAST_EVENT_WINDOW: Final = 32
COMMENT: Final = b':'

# An event holds one token or one usage record; a response that sends 1 MiB in
# a single event is not a stream.
MAX_EVENT_BYTES: Final = 1_048_576


class EventRelay:
    """Relays complete events and counts them across resumed attempts.

    Attributes:
        sink: Receiver of the complete events.
        events: Number of events relayed so far, without comments.
        finished: Whether the last event, `[DONE]`, was relayed.
        buffer: Start of an event whose end has not arrived.
        recent: The last two relayed pieces, which contain the usage record if
            there is one.
    """

    def __init__(self, sink: EventSink) -> None:
        self.sink = sink
        self.events = 0
        self.finished = False
        self.buffer = EventBuffer()
        self.recent: tuple[bytes, bytes] = (b'', b'')

    async def feed(self, piece: bytes) -> None:
        """Relay the events that `piece` completes.

        Raises:
            CallerDisconnectedError: If the sink is closed.
            ValueError: If an event is too long.
        """
        complete = self.buffer.feed(piece)
        if len(self.buffer.partial) > MAX_EVENT_BYTES:
            raise ValueError('an event is longer than 1 MiB')
        if not complete:
            return
        try:
            await self.sink.write(complete)
        except ConnectionError as error:
            raise CallerDisconnectedError from error
        self.events += count_events(complete)
        self.finished = ends_with_last_event(complete)
        self.recent = (self.recent[1], complete)

    def drop_partial(self) -> None:
        """Discard the incomplete event of an interrupted attempt."""
        self.buffer.partial.clear()


def ends_with_last_event(complete: bytes) -> bool:
    """Whether `complete` ends with the last event of a stream."""
    tail = complete[-LAST_EVENT_WINDOW:].rstrip()
    return tail.rpartition(b'\n')[2] in LAST_EVENT


def count_events(complete: bytes) -> int:
    """Count the events in `complete`, without comments such as pings."""
    ends = complete.count(EVENT_END) + complete.count(EVENT_END_CRLF)
    if not complete.startswith(COMMENT) and b'\n:' not in complete:
        return ends
    blocks = complete.replace(b'\r\n', b'\n').split(b'\n\n')
    return sum(has_fields(block) for block in blocks)


def has_fields(block: bytes) -> bool:
    """Whether a block of lines has a line that is not a comment."""
    return any(
        line and not line.startswith(COMMENT) for line in block.split(b'\n')
    )
