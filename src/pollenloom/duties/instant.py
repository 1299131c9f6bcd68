"""A point in time that a suspended machine cannot hide."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock


@dataclass(frozen=True, slots=True)
class Instant:
    """Time of one machine by two of its clocks.

    The monotonic clock stands still while a machine is suspended; the other
    one does not. The holder of a lease counts the longer time, and who waits
    for its end counts the shorter one.

    Attributes:
        monotonic: Monotonic time in seconds.
        uptime: Seconds since the machine started.
    """

    monotonic: float
    uptime: float

    @classmethod
    def from_clock(cls, clock: 'Clock') -> Self:
        """Return the present time."""
        return cls(clock.monotonic(), clock.uptime())

    def longest_since(self, earlier: 'Instant') -> float:
        """Return the seconds since another instant, by the faster clock."""
        return max(
            self.monotonic - earlier.monotonic, self.uptime - earlier.uptime
        )

    def shortest_since(self, earlier: 'Instant') -> float:
        """Return the seconds since another instant, by the slower clock."""
        return min(
            self.monotonic - earlier.monotonic, self.uptime - earlier.uptime
        )
