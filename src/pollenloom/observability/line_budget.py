"""Rate limit on log lines of one kind."""

from typing import Final

# A VM that rejects hundreds of requests per second would spend most of its
# time on their log lines; the first ones of each second show the cause.
LINES_PER_SECOND: Final = 50


class LineBudget:
    """Limits the number of lines in each second.

    Attributes:
        second: Second that is counted; None before the first line.
        written: Lines written in that second.
        dropped: Lines that were not written and not reported yet.
    """

    def __init__(self, lines_per_second: int = LINES_PER_SECOND) -> None:
        self.lines_per_second = lines_per_second
        self.second: int | None = None
        self.written = 0
        self.dropped = 0

    def may_write(self, now: float) -> bool:
        """Count a line; return whether it may be written.

        `now` is the time in seconds of any clock.
        """
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
        """Return the number of lines dropped since the last call; reset it."""
        dropped = self.dropped
        self.dropped = 0
        return dropped
