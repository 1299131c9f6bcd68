"""Health of one server, judged by what its requests show."""

import math
from typing import Final

# Failures of the last seconds count; one that is older has little weight.
MEMORY_SECONDS: Final = 4.0
# Idempotent requests of a sound server fail in up to 14 of 100 cases.
BAD_SHARE: Final = 0.35
FEWEST_SAMPLES: Final = 3.0
# After a lost connection one request tries again after this time.
DOWN_SECONDS: Final = 0.5
LONGEST_DOWN_SECONDS: Final = 4.0
# Weight of a new time to the first byte.
LATENCY_WEIGHT: Final = 0.2


class ServerHealth:
    """Decaying counts of good and bad answers, and a latency average."""

    def __init__(self, now: float) -> None:
        self.good: float = 0
        self.bad: float = 0
        self.counted_at = now
        self.down_until = float('-inf')
        self.down_seconds = DOWN_SECONDS
        self.latency: float = 0
        self.was_unreachable = False

    def decay(self, now: float) -> None:
        """Let older counts lose weight."""
        kept = math.exp(-max(0, now - self.counted_at) / MEMORY_SECONDS)
        self.counted_at = now
        self.good *= kept
        self.bad *= kept
        # A slow server without requests would otherwise never be tried again.
        self.latency *= kept

    def answered(self, now: float, *, is_good: bool) -> None:
        """Count a whole answer."""
        self.decay(now)
        self.down_seconds = DOWN_SECONDS
        self.was_unreachable = False
        if is_good:
            self.good += 1
        else:
            self.bad += 1

    def unreachable(self, now: float) -> None:
        """Count a connection that could not be made or was silent."""
        self.decay(now)
        self.bad += 1
        self.was_unreachable = True
        self.down_until = now + self.down_seconds
        self.down_seconds = min(LONGEST_DOWN_SECONDS, self.down_seconds * 2)

    def observe_latency(self, seconds: float, now: float) -> None:
        """Note a time to the first byte."""
        self.decay(now)
        self.latency += LATENCY_WEIGHT * (seconds - self.latency)

    def is_down(self, now: float) -> bool:
        """Whether connections are not worth a try at `now`."""
        return now < self.down_until

    def is_bad(self, now: float) -> bool:
        """Whether too many of the recent answers were failures."""
        self.decay(now)
        total = self.good + self.bad
        return total >= FEWEST_SAMPLES and self.bad > BAD_SHARE * total
