"""Clock that tests set."""

from pollenloom.kernel.clock import Clock


class ManualClock(Clock):
    """Clock whose time only changes when a test advances it."""

    def __init__(self, now: float = 1000) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Time in seconds, as set by the test."""
        return self.now

    def uptime(self) -> float:
        """Time in seconds, as set by the test."""
        return self.now

    def wall(self) -> float:
        """Time in seconds, as set by the test."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the time forward."""
        self.now += seconds
