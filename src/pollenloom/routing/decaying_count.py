"""Count or amount of recent events."""

import math
from typing import Final

DECAY_SECONDS: Final = 3.0


class DecayingCount:
    """Number of events, or sum of their amounts; older ones weigh less.

    Attributes:
        decay_seconds: Time constant of the decay.
        amount: The count as of `decayed_at`.
        decayed_at: Monotonic seconds of the latest decay.
    """

    def __init__(self, decay_seconds: float = DECAY_SECONDS) -> None:
        self.decay_seconds = decay_seconds
        self.amount: float = 0
        self.decayed_at = float('-inf')

    def add(self, now: float, amount: float = 1) -> None:
        """Count an event, or add its amount."""
        self.amount = self.at(now) + amount
        self.decayed_at = now

    def at(self, now: float) -> float:
        """Return the count at `now`."""
        elapsed = now - self.decayed_at
        return self.amount * decay_weight(elapsed, self.decay_seconds)


def decay_weight(seconds: float, decay_seconds: float = DECAY_SECONDS) -> float:
    """Return the weight that an event has after some seconds, 0 to 1."""
    return math.exp(-max(0, seconds) / decay_seconds)
