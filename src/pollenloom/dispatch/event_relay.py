"""Relay of an event stream, in complete events."""

from typing import Final

from pollenloom.dispatch.caller_disconnected_error import (
    CallerDisconnectedError,
)
from pollenloom.dispatch.event_sink import EventSink

EVENT_END: Final = b'\n\n'
EVENT_END_CRLF: Final = b'\r\n\r\n'
LAST_EVENT: Final = frozenset((b'data: [DONE]', b'data:[DONE]'))
# Longer than the last event with its line ends.
LAST_EVENT_WINDOW: Final = 32
COMMENT: Final = b':'

# An event holds one token or one usage record; whole answers of 1 MiB in a
# single event are no longer a stream.
MAX_EVENT_BYTES: Final = 1_048_576


class EventRelay:
    """Passes complete events on and counts them, across resumed attempts.

    Attributes:
        sink: Where complete events go.
        events: Complete events relayed so far; comments are not counted.
        finished: Whether the last event, `[DONE]`, was relayed.
        partial: Start of an event whose end has not arrived.
        recent: The last two relayed pieces, where a usage record would be.
    """

    def __init__(self, sink: EventSink) -> None:
        self.sink = sink
        self.events = 0
        self.finished = False
        self.partial = b''
        self.recent: tuple[bytes, bytes] = (b'', b'')

    async def feed(self, piece: bytes) -> None:
        """Relay the events that `piece` completes.

        Raises:
            CallerDisconnectedError: If the sink is closed.
            ValueError: If an event is too long.
        """
        complete = piece
        # Engines flush after each event, so that this is the usual case.
        if self.partial or not piece.endswith(EVENT_END):
            complete = self.complete_part(piece)
            if not complete:
                return
        try:
            await self.sink.write(complete)
        except ConnectionError as error:
            raise CallerDisconnectedError from error
        self.events += count_events(complete)
        self.finished = is_last(complete)
        self.recent = (self.recent[1], complete)

    def complete_part(self, piece: bytes) -> bytes:
        """Keep the start of an event; return what came before it."""
        buffered = self.partial + piece
        end = find_last_end(buffered)
        self.partial = buffered[end:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise ValueError('an event is longer than 1 MiB')
        return buffered[:end]

    def drop_partial(self) -> None:
        """Forget the incomplete event of an attempt that was cut."""
        self.partial = b''


def find_last_end(buffered: bytes) -> int:
    """Return the number of bytes up to the end of the last whole event."""
    if buffered.endswith(EVENT_END):
        return len(buffered)
    return max(
        end_of_last(buffered, EVENT_END),
        end_of_last(buffered, EVENT_END_CRLF),
    )


def end_of_last(buffered: bytes, mark: bytes) -> int:
    """Return the number of bytes up to the end of the last `mark`."""
    start = buffered.rfind(mark)
    return 0 if start < 0 else start + len(mark)


def is_last(complete: bytes) -> bool:
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
    """Whether a block of lines is more than comments."""
    return any(
        line and not line.startswith(COMMENT) for line in block.split(b'\n')
    )
