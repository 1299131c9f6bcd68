"""Detects slow responses by comparison with the old version."""

import statistics
from collections import deque
from typing import Final

MAX_SAMPLES: Final = 128
# With fewer samples the median is not reliable.
MIN_SAMPLES: Final = 8
# Load alone slows down responses of both versions; three times the median is
# beyond the usual spread.
SLOW_FACTOR: Final = 3.0
# Smaller differences are noise of the network and the event loop.
SLOW_MARGIN_SECONDS: Final = 0.05
# Baselines of multiples of an expected time, or of seconds for each token, have
# no margin: 50 ms for a token would hide a version four times slower.
NO_MARGIN: Final = 0
# Times that account for the load spread less, so that twice the median tells.
SLOW_FACTOR_UNDER_LIKE_LOAD: Final = 2.0


class LatencyBaseline:
    """Recent times of the old version on one route.

    Attributes:
        margin_seconds: Smallest difference from the median that is slow.
        slow_factor: Multiple of the median that is slow, before the margin.
        samples: Latest times, in seconds.
        threshold: Longest time that is not slow, in seconds; None until it is
            computed again after a new sample.
    """

    def __init__(
        self,
        margin_seconds: float = SLOW_MARGIN_SECONDS,
        slow_factor: float = SLOW_FACTOR,
    ) -> None:
        self.margin_seconds = margin_seconds
        self.slow_factor = slow_factor
        self.samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.threshold: float | None = None

    def add(self, seconds: float) -> None:
        """Add the time of a response of the old version."""
        self.samples.append(seconds)
        self.threshold = None

    def check(self, seconds: float) -> bool | None:
        """Whether a response took too long; None without enough samples."""
        if len(self.samples) < MIN_SAMPLES:
            return None
        if self.threshold is None:
            median = statistics.median(self.samples)
            self.threshold = self.slow_factor * median + self.margin_seconds
        return seconds > self.threshold

    def is_slow(self, seconds: float | None) -> bool:
        """Whether a response took too long; False without time or baseline."""
        return seconds is not None and bool(self.check(seconds))
