"""Check of fencing numbers."""

from enum import Enum, unique


@unique
class FencingMode(Enum):
    """Whether requests with an old fencing number are refused."""

    REFUSE = 'refuse'
    IGNORE = 'ignore'


class FencingCheck:
    """Compares fencing numbers with the highest received."""

    def __init__(self, mode: FencingMode) -> None:
        self.mode = mode
        self.highest = 0

    def accepts(self, number: int) -> bool:
        """Whether a request with this number may run; records the highest."""
        if number < self.highest:
            return self.mode is FencingMode.IGNORE
        self.highest = number
        return True
