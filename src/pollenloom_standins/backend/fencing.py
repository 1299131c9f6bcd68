"""Check of fencing numbers."""

from enum import Enum, unique


@unique
class FencingMode(Enum):
    """Whether orders with an old fencing number are refused."""

    REFUSE = 'refuse'
    IGNORE = 'ignore'


class FencingCheck:
    """Keeps the highest fencing number."""

    def __init__(self, mode: FencingMode) -> None:
        self.mode = mode
        self.highest = 0

    def accepts(self, number: int) -> bool:
        """Whether a call with that number may run."""
        if number < self.highest:
            return self.mode is FencingMode.IGNORE
        self.highest = number
        return True
