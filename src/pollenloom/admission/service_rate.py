"""Measured rate at which a queue gets grants."""

import math

# Time constant of the average: long enough to smooth bursts of grants, short
# enough to follow a change of capacity within some seconds.
AVERAGING_SECONDS = 10.0
# With fewer grants, or a shorter time, the rate is too random, and requests
# would be rejected by accident.
MIN_GRANTS = 5
MIN_BUSY_SECONDS = 0.5


class ServiceRate:
    """Average of the grants a second while the queue was not empty.

    Attributes:
        busy_since: When the queue became busy, monotonic seconds; None while
            it is empty.
        updated_at: When `weight` was last updated, monotonic seconds.
        weight: Grants since `busy_since`, with exponential decay.
        grants: Number of grants since `busy_since`.
    """

    def __init__(self) -> None:
        self.busy_since: float | None = None
        self.updated_at: float = 0
        self.weight: float = 0
        self.grants = 0

    def mark_busy(self, now: float) -> None:
        """Start measuring, if the queue was empty until now."""
        if self.busy_since is None:
            self.busy_since = now
            self.updated_at = now
            self.weight = 0
            self.grants = 0

    def mark_idle(self) -> None:
        """Stop measuring: an empty queue gets no grants at any rate."""
        self.busy_since = None

    def record_grant(self, now: float) -> None:
        """Count one grant."""
        if self.busy_since is None:
            return
        self.weight = self.weight * self.decay(now) + 1
        self.updated_at = now
        self.grants += 1

    def decay(self, now: float) -> float:
        """Factor by which the weight of past grants has decayed."""
        return math.exp((self.updated_at - now) / AVERAGING_SECONDS)

    def per_second(self, now: float) -> float | None:
        """Grants a second; None until enough was measured."""
        if self.busy_since is None or self.grants < MIN_GRANTS:
            return None
        elapsed = now - self.busy_since
        if elapsed < MIN_BUSY_SECONDS:
            return None
        observed = AVERAGING_SECONDS * -math.expm1(-elapsed / AVERAGING_SECONDS)
        return self.weight * self.decay(now) / observed
