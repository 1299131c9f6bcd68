"""Time that the routers of a fleet have in common."""

from typing import Final

# A router that corrects its time by more than this may have used turns that
# were not its own, and does not use any until the correction is an old one.
LARGEST_DRIFT_SECONDS: Final = 0.1
# Reports reach all routers of a fleet within this time.
SETTLE_SECONDS: Final = 1.0
# Reports of routers hold times up to here, some decades after a start.
LARGEST_TIME_SECONDS: Final = 1e9


class FleetClock:
    """Keeps a common time from the times in the reports of other routers.

    The time of day differs between machines and can jump, so it is not used.
    Each router counts the seconds since its start, and moves its time forward
    to the latest one that it hears of, so that all follow the one that is most
    ahead. A report that comes late or out of order changes nothing. The error
    is the time that a report needs on its way.

    Attributes:
        offset: Fleet time less monotonic time, seconds; None before the start.
        settled_at: Time from which turns may be used, monotonic seconds;
            infinite before the first report of another router.
        awake_offset: Time since the start of the machine less monotonic time,
            seconds. It grows while the machine is suspended.
    """

    def __init__(self) -> None:
        self.offset: float | None = None
        self.settled_at = float('inf')
        self.awake_offset: float | None = None

    def now(self, monotonic: float) -> float:
        """Return the fleet time, which begins with the first call."""
        if self.offset is None:
            self.offset = -monotonic
        return monotonic + self.offset

    def observe(self, fleet_time: float, monotonic: float) -> float:
        """Follow the time of another router, from a report of it.

        Args:
            fleet_time: Fleet time at which the report was sent.
            monotonic: Present time, monotonic seconds.

        Returns:
            By how many seconds the time was corrected, if that is more than
            `LARGEST_DRIFT_SECONDS`, else 0.
        """
        if not 0 < fleet_time <= LARGEST_TIME_SECONDS:
            return 0
        ahead = fleet_time - self.now(monotonic)
        is_first = self.settled_at == float('inf')
        if is_first or ahead > LARGEST_DRIFT_SECONDS:
            self.settled_at = monotonic + SETTLE_SECONDS
        if ahead > 0:
            self.offset = fleet_time - monotonic
        return ahead if ahead > LARGEST_DRIFT_SECONDS else 0

    def check_suspension(self, monotonic: float, uptime: float) -> None:
        """Distrust the time if the machine was suspended meanwhile."""
        awake_offset = uptime - monotonic
        known = self.awake_offset
        self.awake_offset = awake_offset
        if known is not None and awake_offset > known + LARGEST_DRIFT_SECONDS:
            self.settled_at = float('inf')

    def settled_time(self, monotonic: float, uptime: float) -> float | None:
        """Return the fleet time; None while it may differ between routers.

        Args:
            monotonic: Present time, monotonic seconds.
            uptime: Seconds since the start of the machine, with suspensions.
        """
        self.check_suspension(monotonic, uptime)
        if monotonic < self.settled_at:
            return None
        return self.now(monotonic)
