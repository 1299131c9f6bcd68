"""Tells slow answers by comparison with the old version."""

import statistics
from collections import deque
from typing import Final

SAMPLES: Final = 128
# With fewer samples the median says too little.
MINIMUM_SAMPLES: Final = 8
# Load alone makes answers some times slower on both versions; three times
# the median is beyond the usual spread.
SLOW_FACTOR: Final = 3.0
# Differences below this are noise of the network and the event loop.
SLOW_MARGIN_SECONDS: Final = 0.05


class LatencyBaseline:
    """Recent times of the old version on one route, in seconds."""

    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=SAMPLES)
        self.threshold: float | None = None

    def add(self, seconds: float) -> None:
        """Add an answer of the old version."""
        self.samples.append(seconds)
        if len(self.samples) >= MINIMUM_SAMPLES:
            median = statistics.median(self.samples)
            self.threshold = SLOW_FACTOR * median + SLOW_MARGIN_SECONDS

    def is_slow(self, seconds: float | None) -> bool:
        """Whether an answer took too long; False without a baseline."""
        if seconds is None or self.threshold is None:
            return False
        return seconds > self.threshold
