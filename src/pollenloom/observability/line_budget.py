"""Bound on log lines of one kind, so that load does not fill the log."""

from typing import Final

# A machine that refuses hundreds of requests a second spends most of its time
# on their lines; the first ones of each second tell the cause.
LINES_PER_SECOND: Final = 50


class LineBudget:
    """Lines that may be written in the current second.

    Attributes:
        dropped: Lines that were left out and not told of yet.
    """

    def __init__(self, lines_per_second: int = LINES_PER_SECOND) -> None:
        self.lines_per_second = lines_per_second
        self.second: int | None = None
        self.written = 0
        self.dropped = 0

    def may_write(self, now: float) -> bool:
        """Whether one more line may be written at `now` (any clock)."""
        second = int(now)
        if second != self.second:
            self.second = second
            self.written = 0
        if self.written >= self.lines_per_second:
            self.dropped += 1
            return False
        self.written += 1
        return True

    def take_dropped(self) -> int:
        """Return how many lines were left out since the last call."""
        dropped = self.dropped
        self.dropped = 0
        return dropped
