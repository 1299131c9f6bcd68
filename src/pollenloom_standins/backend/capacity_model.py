"""Model of the capacity and speed of a backend server."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

# Share by which a step takes longer at `slots` requests than without load.
BATCH_SLOWDOWN: Final = 0.5
# Factor on the time of a step above the cold slots.
COLD_OVERLOAD_SLOWDOWN: Final = 20


@unique
class ColdOverload(Enum):
    """What a cold server does with requests beyond its cold slots."""

    FAIL = 'fail'
    SLOW = 'slow'
    REFUSE = 'refuse'


@unique
class AdmissionDecision(Enum):
    """What happens to an arriving request.

    Attributes:
        RUN: It runs.
        FULL: It is refused, since too many are in progress.
        COLD: It is refused, since it is beyond the cold slots.
        FAIL: It fails, since it is beyond the cold slots.
    """

    RUN = 'run'
    FULL = 'full'
    COLD = 'cold'
    FAIL = 'fail'


@dataclass(frozen=True, slots=True)
class CapacityLimits:
    """Capacity of one backend server.

    Attributes:
        slots: Requests in progress that it can handle when warm.
        cold_slots: Requests in progress that it can handle when cold.
        cold_seconds: Duration of the first cold start; 0 starts warm.
        full_at: Requests in progress at which it refuses more.
        cold_overload: What it does with requests beyond its cold slots.
        overload_power: Above `slots` the time of a step grows with this
            power of the load.
    """

    slots: int
    cold_slots: int
    cold_seconds: float
    full_at: int
    cold_overload: ColdOverload
    overload_power: float = 4


class CapacityModel:
    """Counts requests in progress and computes the slowdown they cause."""

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
        """Begin a cold start, or restart the time of the present one."""
        if not self.is_cold(now):
            self.cold_since = now
        self.cold_until = now + self.cold_seconds

    def is_cold(self, now: float) -> bool:
        """Whether the time lies in the latest cold start."""
        return self.cold_since <= now < self.cold_until

    def decide(self, now: float) -> AdmissionDecision:
        """Decide on an arriving request.

        A request beyond the cold slots prolongs the cold start unless it is
        refused.
        """
        if self.running >= self.limits.full_at:
            return AdmissionDecision.FULL
        if not self.is_cold(now) or self.running < self.limits.cold_slots:
            return AdmissionDecision.RUN
        if self.limits.cold_overload is ColdOverload.REFUSE:
            return AdmissionDecision.COLD
        self.cold_overloads += 1
        self.turn_cold(now)
        if self.limits.cold_overload is ColdOverload.SLOW:
            return AdmissionDecision.RUN
        return AdmissionDecision.FAIL

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
        """Return the factor on the time of a step at the present load."""
        load = self.running / self.limits.slots
        factor = 1 + BATCH_SLOWDOWN * min(load, 1)
        if load > 1:
            factor *= load**self.limits.overload_power
        if self.is_cold(now) and self.running > self.limits.cold_slots:
            factor *= COLD_OVERLOAD_SLOWDOWN
        return factor
