"""Rate at which this router sends requests of one service."""

from collections import deque
from typing import Final

from pollenloom.routing.decaying_count import DecayingCount

# Time over which the rate is measured.
RATE_WINDOW_SECONDS: Final = 2.0


class SendRate:
    """Cost that this router sent lately.

    Attributes:
        sends: Time and cost of the requests sent within the window.
        cost: Sum of these costs.
        late: Cost of the requests sent lately that could only be late.
    """

    def __init__(self) -> None:
        self.sends: deque[tuple[float, float]] = deque()
        self.cost: float = 0
        self.late = DecayingCount(RATE_WINDOW_SECONDS)

    def add(self, cost: float, now: float, *, is_late: bool) -> None:
        """Count a request that is sent."""
        self.sends.append((now, cost))
        self.cost += cost
        if is_late:
            self.late.add(now, cost)

    def per_second(self, least: float, now: float) -> float | None:
        """Return the cost per second that is expected to be sent.

        Args:
            least: Rate that is due to this router.
            now: Monotonic seconds.

        Returns:
            The rate, at least `least`; None if nothing was sent lately.
        """
        while self.sends and self.sends[0][0] < now - RATE_WINDOW_SECONDS:
            self.cost -= self.sends.popleft()[1]
        if not self.sends:
            return None
        return max(max(self.cost, 1) / RATE_WINDOW_SECONDS, least)

    def late_per_second(self, now: float) -> float:
        """Return the cost per second of the late requests sent lately."""
        return self.late.at(now) / RATE_WINDOW_SECONDS
