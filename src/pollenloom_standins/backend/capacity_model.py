"""How many requests a backend server bears and how fast it runs them."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

# At `slots` requests a step takes this much longer than with none.
BATCH_SLOWDOWN: Final = 0.5
COLD_OVERLOAD_SLOWDOWN: Final = 20


@unique
class ColdOverload(Enum):
    """What a cold server does with more than its cold slots."""

    FAIL = 'fail'
    SLOW = 'slow'
    REFUSE = 'refuse'


@unique
class Verdict(Enum):
    """What happens to a request that arrives."""

    RUN = 'run'
    FULL = 'full'
    COLD = 'cold'
    FAIL = 'fail'


@dataclass(frozen=True, slots=True)
class CapacityLimits:
    """Capacity of one backend server.

    Attributes:
        slots: Requests it bears when warm.
        cold_slots: Requests it bears when cold.
        cold_seconds: Length of the first cold start; 0 starts warm.
        full_at: Requests in progress at which it refuses more.
        cold_overload: What a cold server does above its cold slots.
        overload_power: Above `slots` a step's time rises with this power of
            the load.
    """

    slots: int
    cold_slots: int
    cold_seconds: float
    full_at: int
    cold_overload: ColdOverload
    overload_power: float = 4


class CapacityModel:
    """Counts requests in progress and tells how slow each step is."""

    def __init__(self, limits: CapacityLimits, now: float) -> None:
        self.limits = limits
        self.cold_seconds = limits.cold_seconds
        self.running = 0
        self.cold_since = now
        self.cold_until = now + limits.cold_seconds
        self.peak_running = 0
        self.peak_running_cold = 0
        self.cold_overloads = 0

    def turn_cold(self, now: float) -> None:
        """Start the cold time, or restart it if it is running."""
        if not self.is_cold(now):
            self.cold_since = now
        self.cold_until = now + self.cold_seconds

    def is_cold(self, now: float) -> bool:
        """Whether the server is, or lately was, in a cold start."""
        return self.cold_since <= now < self.cold_until

    def judge(self, now: float) -> Verdict:
        """Decide on one more request; too much when cold lasts longer."""
        if self.running >= self.limits.full_at:
            return Verdict.FULL
        if not self.is_cold(now) or self.running < self.limits.cold_slots:
            return Verdict.RUN
        if self.limits.cold_overload is ColdOverload.REFUSE:
            return Verdict.COLD
        self.cold_overloads += 1
        self.turn_cold(now)
        if self.limits.cold_overload is ColdOverload.SLOW:
            return Verdict.RUN
        return Verdict.FAIL

    def begin(self, now: float) -> None:
        """Count a request that starts."""
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        if self.is_cold(now):
            self.peak_running_cold = max(self.peak_running_cold, self.running)

    def end(self) -> None:
        """Count a request that ended."""
        self.running -= 1

    def slowdown(self, now: float) -> float:
        """Factor on the time of a step at the present load."""
        load = self.running / self.limits.slots
        factor = 1 + BATCH_SLOWDOWN * min(load, 1)
        if load > 1:
            factor *= load**self.limits.overload_power
        if self.is_cold(now) and self.running > self.limits.cold_slots:
            factor *= COLD_OVERLOAD_SLOWDOWN
        return factor
