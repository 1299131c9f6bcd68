"""Account of the memory that a process holds for all its callers."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.routing.caller_limits import CallerLimits

# What a connection may hold without being counted. The bound on connections
# contains it; a usual request takes less and costs no time for the account.
UNCOUNTED_BYTES: Final = 4096
# A caller that has just begun counts as if it held its bytes for this long, so
# that the sizes of new callers are compared, too.
LEAST_HELD_SECONDS: Final = 0.1
# Requests that hold at most this much may fill all the room; larger ones leave
# a part of it, so that a small request finds room beside them.
SMALL_REQUEST_BYTES: Final = 16_384
LARGE_REQUESTS_SHARE: Final = 0.75
# Largest bodies for which there is always room, whatever the machine states.
LARGEST_BODIES: Final = 2


class MemoryHolder(ABC):
    """Connection of a caller that has sent bytes which are not yet used.

    Attributes:
        held_bytes: Memory that it holds, as counted by `CallerMemory`.
        held_since: When it began to hold memory, monotonic seconds.
    """

    held_bytes: int = 0
    held_since: float = 0

    @abstractmethod
    def refuse(self, failure: Failure) -> None:
        """Drop what it holds and refuse the request that it belongs to."""


class CallerMemory:
    """Bounds what is held for callers, and decides who is refused beyond it.

    What callers are sending can be refused at any time, since nothing of it has
    run. A request that has begun keeps its memory until it ends.

    Attributes:
        max_bytes: Bound on all that is held, unless two of the largest bodies
            that the limits allow are more.
        limits: Limits in force for a single request.
        held_bytes: All that is held.
        begun_bytes: The part of it that belongs to requests which have begun.
        holders: Connections that hold memory of requests which have not begun.
    """

    def __init__(
        self,
        max_bytes: int,
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> None:
        self.max_bytes = max_bytes
        self.limits = limits
        self.held_bytes = 0
        self.begun_bytes = 0
        self.holders: set[MemoryHolder] = set()

    @property
    def room(self) -> int:
        """Memory that may be held, in bytes."""
        return max(self.max_bytes, LARGEST_BODIES * self.limits().body_bytes)

    def update(self, holder: MemoryHolder, size: int, now: float) -> None:
        """Count what a connection holds now; refuse the worst beyond the room.

        The worst is the one with the largest product of bytes and time: who
        fills memory for long goes first, and a new request is read to its end
        beside others that stopped short of theirs.
        """
        self.count(holder, size, now)
        if self.held_bytes <= self.max_bytes:
            return
        while self.holders and self.held_bytes > self.room:
            worst = self.find_worst(now)
            self.count(worst, 0, now)
            worst.refuse(
                Failure(
                    ErrorKind.MEMORY_FULL,
                    f'{self.held_bytes} bytes are held for other callers',
                )
            )

    def find_worst(self, now: float) -> MemoryHolder:
        """Return the holder to refuse; there is at least one."""
        return max(self.holders, key=lambda holder: held_product(holder, now))

    def count(self, holder: MemoryHolder, size: int, now: float) -> None:
        """Count what a connection holds now."""
        if not holder.held_bytes and size:
            holder.held_since = now
            self.holders.add(holder)
        self.held_bytes += size - holder.held_bytes
        holder.held_bytes = size
        if not size:
            self.holders.discard(holder)

    def begin(self, size: int) -> bool:
        """Count a request that begins; return False if it must be refused."""
        begun_bytes = self.begun_bytes + size
        if begun_bytes > self.max_bytes * LARGE_REQUESTS_SHARE:
            room = float(self.room)
            if size > SMALL_REQUEST_BYTES:
                room *= LARGE_REQUESTS_SHARE
            if self.begun_bytes and begun_bytes > room:
                return False
        self.begun_bytes = begun_bytes
        self.held_bytes += size
        return True

    def end(self, size: int) -> None:
        """Count a request that has ended after it began."""
        self.begun_bytes -= size
        self.held_bytes -= size


def held_product(holder: MemoryHolder, now: float) -> float:
    """Return bytes times seconds, by which holders are compared."""
    return holder.held_bytes * (now - holder.held_since + LEAST_HELD_SECONDS)
