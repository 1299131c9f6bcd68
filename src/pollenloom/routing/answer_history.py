"""Number of answers that the fleet has given since a moment."""

from bisect import bisect_left
from collections import deque
from typing import Final

from pollenloom.routing.decaying_count import decay_weight

# Two minutes at ten samples a second.
MAX_SAMPLES: Final = 1200


class AnswerHistory:
    """Adds up the answers of a service from reported decaying counts.

    Attributes:
        times: When each sample was taken, monotonic seconds.
        totals: Answers up to each sample.
        latest: Latest decaying count.
    """

    def __init__(self) -> None:
        self.times: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.totals: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.latest: float = 0

    def observe(self, count: float, now: float) -> None:
        """Add the decaying count of the fleet at `now`.

        A count that falls faster than it decays is that of a router that
        stopped; the answers that it gave stay counted.
        """
        total = self.totals[-1] if self.totals else 0
        if self.times:
            kept = self.latest * decay_weight(now - self.times[-1])
            total += max(0, count - kept)
        self.times.append(now)
        self.totals.append(total)
        self.latest = count

    def answered_since(self, moment: float) -> float:
        """Return the answers since `moment`, or since the oldest sample."""
        if not self.times:
            return 0
        index = min(bisect_left(self.times, moment), len(self.times) - 1)
        return self.totals[-1] - self.totals[index]
