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


class LatencyBaseline:
    """Recent times of the old version on one route.

    Attributes:
        samples: Latest times, in seconds.
        threshold: Longest time that is not slow, in seconds; None until
            there are enough samples.
    """

    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.threshold: float | None = None

    def add(self, seconds: float) -> None:
        """Add the time of a response of the old version."""
        self.samples.append(seconds)
        if len(self.samples) >= MIN_SAMPLES:
            median = statistics.median(self.samples)
            self.threshold = SLOW_FACTOR * median + SLOW_MARGIN_SECONDS

    def is_slow(self, seconds: float | None) -> bool:
        """Whether a response took too long; False without time or baseline."""
        if seconds is None or self.threshold is None:
            return False
        return seconds > self.threshold
