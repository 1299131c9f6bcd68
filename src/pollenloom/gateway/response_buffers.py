"""Bound on the responses that a process holds in memory."""

from abc import ABC, abstractmethod
from typing import Final

# Of all responses together. A router runs on machines with 150 MB, of which it
# takes 60 MB under load. The rest is for requests and connections of callers,
# and for room that the heap has lost to fragmentation.
MAX_HELD_BYTES: Final = 16_777_216


class ResponseHolder(ABC):
    """Holder of a response that is not yet passed on.

    Attributes:
        held_bytes: Bytes that it holds, as counted by `ResponseBuffers`.
    """

    held_bytes: int = 0

    @abstractmethod
    def discard_response(self) -> None:
        """End the response, since it takes too much memory."""


class ResponseBuffers:
    """Counts the bytes of all responses and ends the largest beyond a limit.

    Limits on single responses do not bound their sum: some servers, or retries
    at other servers, may send long responses at the same time. Ending the
    largest one leaves the responses of sound servers alone.

    Attributes:
        max_bytes: Limit on the sum.
        held_bytes: The sum.
        holders: Holders with at least one byte.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.holders: set[ResponseHolder] = set()

    def add(self, holder: ResponseHolder, size: int) -> None:
        """Count received bytes; end the largest responses beyond the limit."""
        holder.held_bytes += size
        self.held_bytes += size
        self.holders.add(holder)
        while self.held_bytes > self.max_bytes:
            largest = max(self.holders, key=held_by)
            self.release(largest, largest.held_bytes)
            largest.discard_response()

    def release(self, holder: ResponseHolder, size: int) -> None:
        """Count bytes that were passed on or dropped."""
        released = min(size, holder.held_bytes)
        holder.held_bytes -= released
        self.held_bytes -= released
        if not holder.held_bytes:
            self.holders.discard(holder)


def held_by(holder: ResponseHolder) -> int:
    """Return the bytes of a holder, to compare holders."""
    return holder.held_bytes
