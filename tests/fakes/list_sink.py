"""Sink that keeps what is relayed to it."""

from pollenloom.dispatch.event_sink import EventSink


class ListSink(EventSink):
    """Keeps the pieces of a relayed stream."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []

    async def write(self, events: bytes) -> None:
        """Keep a piece."""
        self.pieces.append(events)

    @property
    def relayed(self) -> bytes:
        """All that was relayed."""
        return b''.join(self.pieces)
