"""Decides which calls a fault hits."""

import random
from typing import Final

EVERY_CALL: Final = -1


class FaultDraw:
    """Draws by fraction, with a fixed seed, or by a count of next calls."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)

    def hits(self, fraction: float, next_calls: int) -> bool:
        """Whether a fault with that fraction and count hits this call."""
        if next_calls:
            return True
        return fraction > 0 and self.random.random() < fraction


def one_less(next_calls: int) -> int:
    """Return a count of next calls after one call was hit."""
    return next_calls - 1 if next_calls > 0 else next_calls
