"""Limit on retries, which protects a failing fleet from overload."""

from collections import deque
from dataclasses import dataclass
from typing import Final

WINDOW_SECONDS: Final = 60
RETRY_RATIO: Final = 0.1
RETRY_RESERVE: Final = 10


@dataclass(slots=True)
class BudgetSlot:
    """Counts of one second."""

    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Allows retries up to a share of the requests plus a reserve.

    Only the requests and retries in a sliding window count, so that past
    incidents neither use up nor increase the present budget.

    Attributes:
        ratio: Allowed retries per request.
        reserve: Retries allowed in addition, whatever the number of requests.
        window_seconds: Length of the sliding window.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        reserve: int = RETRY_RESERVE,
        window_seconds: float = WINDOW_SECONDS,
    ) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.window_seconds = window_seconds
        self.slots: deque[BudgetSlot] = deque()
        self.requests = 0
        self.retries = 0

    def count_request(self, now: float) -> None:
        """Count a first attempt at `now` (monotonic seconds)."""
        self.current_slot(now).requests += 1
        self.requests += 1

    def take(self, now: float) -> bool:
        """Count a retry at `now` if it is allowed; return whether it is."""
        if not self.has_room(now):
            return False
        self.current_slot(now).retries += 1
        self.retries += 1
        return True

    def has_room(self, now: float) -> bool:
        """Whether one retry would be allowed at `now`."""
        self.current_slot(now)
        return self.retries + 1 <= self.reserve + self.ratio * self.requests

    def current_slot(self, now: float) -> BudgetSlot:
        """Return the slot of `now`; drop those outside the window."""
        second = int(now)
        while self.slots:
            oldest = self.slots[0]
            if oldest.second > second - self.window_seconds:
                break
            self.slots.popleft()
            self.requests -= oldest.requests
            self.retries -= oldest.retries
        if not self.slots or self.slots[-1].second < second:
            self.slots.append(BudgetSlot(second))
        return self.slots[-1]
