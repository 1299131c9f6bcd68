"""Largest of the amounts observed within some time."""

from collections import deque


class RecentPeak:
    """Sliding maximum.

    Attributes:
        seconds: How long an amount counts.
        amounts: Times in monotonic seconds with amounts that may still become
            the largest, in falling order of amounts.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.amounts: deque[tuple[float, float]] = deque()

    def observe(self, amount: float, now: float) -> float:
        """Add an amount and return the largest one that counts."""
        while self.amounts and self.amounts[-1][1] <= amount:
            self.amounts.pop()
        self.amounts.append((now, amount))
        while self.amounts[0][0] < now - self.seconds:
            self.amounts.popleft()
        return self.amounts[0][1]
