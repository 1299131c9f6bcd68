"""A clock that tests set themselves."""

from pollenloom.kernel.clock import Clock


class ManualClock(Clock):
    """Time that only moves when a test moves it."""

    def __init__(self, now: float = 1000) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Time in seconds, as set by the test."""
        return self.now

    def wall(self) -> float:
        """Time in seconds, as set by the test."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the time on."""
        self.now += seconds
