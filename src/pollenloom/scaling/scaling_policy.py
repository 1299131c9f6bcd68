"""Decision how many servers a service should have in all data centres."""

import math
from typing import Final

from pollenloom.routing.decaying_count import decay_weight
from pollenloom.scaling.recent_peak import RecentPeak
from pollenloom.scaling.scaling_limits import ScalingLimits
from pollenloom.scaling.service_demand import ServiceDemand

# Part of the servers' room that demand may take. Above it, waves within a few
# seconds fill servers before more have started.
TARGET_SHARE: Final = 0.6
# Time constant of the demand that adds servers.
SMOOTHING_SECONDS: Final = 1.0
# Most that demand counts, as a multiple of the servers that are there: how far
# it exceeds them is a guess once requests are refused.
MAX_GROWTH: Final = 2.0
# Servers that are added beyond the number that is wanted, and that may be idle
# before any is taken away. It bounds how often orders change.
RESERVE_SHARE: Final = 0.1
# Largest part of the servers that is taken away at a time.
MAX_DECREASE_SHARE: Final = 0.25
# Room has to be idle for this many boot times and seconds. A server that is
# missed for its boot time costs far more than one that is idle meanwhile.
IDLE_BOOT_TIMES: Final = 3.0
MIN_IDLE_SECONDS: Final = 20.0
# Demand is unknown after a longer time without an observation.
MAX_GAP_SECONDS: Final = 2.0


class ScalingPolicy:
    """Adds servers at once when demand needs them and takes few away, late.

    Attributes:
        idle_seconds: How long room has to be idle.
        wanted: Servers for the latest demand, smoothed.
        most_wanted: Largest number wanted within `idle_seconds`.
        peak: Finds that number.
        observed_at: When demand was last observed, monotonic seconds.
        idle_since: Earliest time since which the room may count as idle,
            monotonic seconds.
    """

    def __init__(self, limits: ScalingLimits, now: float) -> None:
        self.idle_seconds = max(
            MIN_IDLE_SECONDS, IDLE_BOOT_TIMES * limits.boot_seconds
        )
        self.wanted: float = 0
        self.most_wanted: float = 0
        self.peak = RecentPeak(self.idle_seconds)
        self.observed_at = float('-inf')
        self.idle_since = now

    def observe(self, demand: ServiceDemand, now: float) -> None:
        """Take over the latest demand.

        No room counts as idle after a time without observations, or while
        only some routers are heard of, which may use a small part.
        """
        wanted = min(
            demand.busy / TARGET_SHARE,
            sum(demand.servers.values()) * MAX_GROWTH,
        )
        gap = now - self.observed_at
        weight = decay_weight(gap, SMOOTHING_SECONDS)
        self.wanted = wanted + (self.wanted - wanted) * weight
        self.observed_at = now
        self.most_wanted = self.peak.observe(self.wanted, now)
        if not demand.is_complete or gap > MAX_GAP_SECONDS:
            self.idle_since = now

    def is_settled(self, now: float) -> bool:
        """Whether demand was observed for long enough to take servers away."""
        return now - self.idle_since >= self.idle_seconds

    def total(self, expected: int, now: float) -> int:
        """Return how many servers there should be in all data centres.

        Args:
            expected: Servers that serve or have been ordered and start.
            now: Monotonic seconds.
        """
        if self.wanted > expected:
            return with_reserve(self.wanted)
        if not self.is_settled(now):
            return expected
        enough = with_reserve(self.most_wanted)
        if enough >= expected * (1 - RESERVE_SHARE):
            return expected
        self.idle_since = now
        return max(enough, math.floor(expected * (1 - MAX_DECREASE_SHARE)))


def with_reserve(wanted: float) -> int:
    """Return the number of servers to order for the number wanted."""
    return math.ceil(wanted * (1 + RESERVE_SHARE))
