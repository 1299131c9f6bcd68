"""Health of one server, from the outcomes of its requests."""

import math
from typing import Final

# Time constant of the decay; older outcomes have little weight.
DECAY_SECONDS: Final = 4.0
# At a healthy server up to 14% of idempotent requests fail.
MAX_FAILURE_SHARE: Final = 0.35
MIN_SAMPLES: Final = 3.0
# Time without requests after a failed connection; doubles with each further
# failure.
DOWN_SECONDS: Final = 0.5
LONGEST_DOWN_SECONDS: Final = 4.0
# Weight of a new time to the first byte in the average.
LATENCY_WEIGHT: Final = 0.2


class ServerHealth:
    """Decaying counts of successes and failures, and an average latency.

    Attributes:
        successes: Decaying count of responses without a failure.
        failures: Decaying count of failures.
        decayed_at: When the counts were last decayed, monotonic seconds.
        down_until: When connections may be tried again, monotonic seconds.
        down_seconds: Length of the next pause after a failed connection.
        latency: Decaying average of the time to the first byte, seconds.
        was_unreachable: Whether the latest connection failed.
    """

    def __init__(self, now: float) -> None:
        self.successes: float = 0
        self.failures: float = 0
        self.decayed_at = now
        self.down_until = float('-inf')
        self.down_seconds = DOWN_SECONDS
        self.latency: float = 0
        self.was_unreachable = False

    def decay(self, now: float) -> None:
        """Decay counts and latency for the time since the latest decay."""
        factor = math.exp(-max(0, now - self.decayed_at) / DECAY_SECONDS)
        self.decayed_at = now
        self.successes *= factor
        self.failures *= factor
        # Otherwise a slow server without requests would never be tried again.
        self.latency *= factor

    def record_response(self, now: float, *, is_good: bool) -> None:
        """Count a complete response."""
        self.decay(now)
        self.down_seconds = DOWN_SECONDS
        self.was_unreachable = False
        if is_good:
            self.successes += 1
        else:
            self.failures += 1

    def record_unreachable(self, now: float) -> None:
        """Count a connection that failed or gave no response."""
        self.decay(now)
        self.failures += 1
        self.was_unreachable = True
        self.down_until = now + self.down_seconds
        self.down_seconds = min(LONGEST_DOWN_SECONDS, self.down_seconds * 2)

    def observe_latency(self, seconds: float, now: float) -> None:
        """Add a time to the first byte to the average."""
        self.decay(now)
        self.latency += LATENCY_WEIGHT * (seconds - self.latency)

    def is_down(self, now: float) -> bool:
        """Whether no connection should be tried at `now`."""
        return now < self.down_until

    def is_unhealthy(self, now: float) -> bool:
        """Whether too many of the recent requests failed."""
        if not self.failures:
            return False
        self.decay(now)
        total = self.successes + self.failures
        return (
            total >= MIN_SAMPLES and self.failures > MAX_FAILURE_SHARE * total
        )
