"""Bounded queue of the frames for one peer."""

import asyncio
from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class QueuedFrame:
    """An encoded frame that waits to be sent.

    Attributes:
        encoded: Content of the websocket frame.
        correlation: Correlation number of a request, else 0.
        is_cancelled: Whether its requester no longer waits; then it is not
            sent.
    """

    encoded: bytes
    correlation: int = 0
    is_cancelled: bool = False


class PeerQueue:
    """Frames in order of sending; a full queue rejects new ones."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.frames: deque[QueuedFrame] = deque()
        self.filled = asyncio.Event()

    def push(self, frame: QueuedFrame) -> bool:
        """Add a frame at the end; return whether there was room."""
        if len(self.frames) >= self.limit:
            return False
        self.frames.append(frame)
        self.filled.set()
        return True

    async def wait(self) -> None:
        """Wait until there is a frame; leave it in the queue."""
        await self.filled.wait()

    def pop(self) -> QueuedFrame:
        """Remove and return the first frame."""
        frame = self.frames.popleft()
        if not self.frames:
            self.filled.clear()
        return frame

    def clear(self) -> tuple[QueuedFrame, ...]:
        """Remove and return all frames."""
        frames = tuple(self.frames)
        self.frames.clear()
        self.filled.clear()
        return frames

    def cancel(self, correlation: int) -> None:
        """Mark a queued request so that it is not sent."""
        for frame in self.frames:
            if frame.correlation == correlation:
                frame.is_cancelled = True
