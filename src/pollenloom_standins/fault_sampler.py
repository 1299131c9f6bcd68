"""Decides which calls a fault affects."""

import random
from typing import Final

# Count of calls for a fault that affects every call.
EVERY_CALL: Final = -1


class FaultSampler:
    """Selects calls at random, with a fixed seed, or by a count."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)

    def applies(self, fraction: float, remaining_calls: int) -> bool:
        """Whether a fault affects this call.

        Args:
            fraction: Fraction of calls that the fault affects.
            remaining_calls: Next calls that it affects in any case; -1 for
                all.
        """
        if remaining_calls:
            return True
        return fraction > 0 and self.random.random() < fraction


def decrement_count(remaining_calls: int) -> int:
    """Return a count of calls after one call; -1, for all calls, stays."""
    return remaining_calls - 1 if remaining_calls > 0 else remaining_calls
