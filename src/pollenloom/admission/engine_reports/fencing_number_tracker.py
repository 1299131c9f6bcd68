"""Fencing numbers that the servers of one pool have received."""

from typing import Final

# Increments of 1, 16, 256, ... exceed any fencing number within the attempts
# of one request. Skipped numbers do no harm.
STEP_FACTOR: Final = 16
MAX_STEP_EXPONENT: Final = 5


class FencingNumberTracker:
    """Determines which number an owner's fencing number has to exceed.

    Load reports state the number exactly. A refusal shows only that the
    owner's number is too low, so each refusal raises it by a larger step.

    Attributes:
        highest: Highest number received by a server, or assumed so.
        refused_epoch: Highest number of an owner that a server refused.
        step_exponent: Exponent of the next increment.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.refused_epoch = 0
        self.step_exponent = 0

    def report(self, number: int) -> None:
        """Record the highest number that a server has received."""
        self.highest = max(self.highest, number)

    def refuse(self, epoch: int) -> None:
        """Record a refusal; repeated refusals of a number have no effect."""
        if epoch <= self.refused_epoch:
            return
        self.refused_epoch = epoch
        self.highest = max(
            self.highest, epoch + STEP_FACTOR**self.step_exponent
        )
        self.step_exponent = min(MAX_STEP_EXPONENT, self.step_exponent + 1)

    def is_behind(self, epoch: int) -> bool:
        """Whether the fencing number of an owner is too low."""
        return epoch < self.highest
