"""Bounded queue of the frames for one peer."""

import asyncio
from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class QueuedFrame:
    """An encoded frame on its way to a peer.

    Attributes:
        encoded: Content of the websocket frame.
        correlation: Correlation of a request, else 0.
        abandoned: Set when its requester gave up; it is not sent then.
    """

    encoded: bytes
    correlation: int = 0
    abandoned: bool = False


class PeerQueue:
    """Frames in order of sending; a full queue refuses new ones."""

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
        """Return when there is a frame, without taking it."""
        await self.filled.wait()

    def pop(self) -> QueuedFrame:
        """Take the first frame."""
        frame = self.frames.popleft()
        if not self.frames:
            self.filled.clear()
        return frame

    def clear(self) -> tuple[QueuedFrame, ...]:
        """Take all frames."""
        frames = tuple(self.frames)
        self.frames.clear()
        self.filled.clear()
        return frames

    def abandon(self, correlation: int) -> None:
        """Mark a request that is no longer to be sent."""
        for frame in self.frames:
            if frame.correlation == correlation:
                frame.abandoned = True
