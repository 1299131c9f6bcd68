"""Sink that stores the stream relayed to it."""

import asyncio

from pollenloom.dispatch.event_sink import EventSink


class ListSink(EventSink):
    """Stores the pieces of a relayed stream.

    Attributes:
        pieces: Pieces in the order in which they were written.
        pause_seconds: Delay of each write, as by a slow reader.
    """

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.pause_seconds: float = 0

    async def write(self, events: bytes) -> None:
        """Store a piece after the delay."""
        if self.pause_seconds:
            await asyncio.sleep(self.pause_seconds)
        self.pieces.append(events)

    @property
    def relayed(self) -> bytes:
        """The pieces, joined."""
        return b''.join(self.pieces)
