"""Count of recent events."""

import math
from typing import Final

DECAY_SECONDS: Final = 3.0


class DecayingCount:
    """Number of events, of which older ones weigh less.

    Attributes:
        amount: The count as of `decayed_at`.
        decayed_at: Monotonic seconds of the latest decay.
    """

    def __init__(self) -> None:
        self.amount: float = 0
        self.decayed_at = float('-inf')

    def add(self, now: float) -> None:
        """Count an event."""
        self.amount = self.at(now) + 1
        self.decayed_at = now

    def at(self, now: float) -> float:
        """Return the count at `now`."""
        return self.amount * decay_weight(now - self.decayed_at)


def decay_weight(seconds: float) -> float:
    """Return the weight that an event has after some seconds, 0 to 1."""
    return math.exp(-max(0, seconds) / DECAY_SECONDS)
