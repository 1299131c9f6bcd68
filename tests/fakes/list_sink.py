"""Sink that keeps what is relayed to it."""

import asyncio

from pollenloom.dispatch.event_sink import EventSink


class ListSink(EventSink):
    """Keeps the pieces of a relayed stream.

    Attributes:
        pause_seconds: Time that a slow reader takes for each piece.
    """

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.pause_seconds: float = 0

    async def write(self, events: bytes) -> None:
        """Keep a piece."""
        if self.pause_seconds:
            await asyncio.sleep(self.pause_seconds)
        self.pieces.append(events)

    @property
    def relayed(self) -> bytes:
        """All that was relayed."""
        return b''.join(self.pieces)
