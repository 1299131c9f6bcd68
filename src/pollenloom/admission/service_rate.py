"""Measured rate at which one queue is served."""

import math

# Long enough to smooth over bursts of grants, short enough to follow a
# change of capacity within some seconds.
AVERAGING_SECONDS = 10.0
# A prediction from fewer grants, or from a shorter time, refuses by accident.
MIN_GRANTS = 5
MIN_BUSY_SECONDS = 0.5


class ServiceRate:
    """Grants a second while the queue was not empty."""

    def __init__(self) -> None:
        self.busy_since: float | None = None
        self.updated_at: float = 0
        self.weight: float = 0
        self.grants = 0

    def busy(self, now: float) -> None:
        """The queue is not empty from now on."""
        if self.busy_since is None:
            self.busy_since = now
            self.updated_at = now
            self.weight = 0
            self.grants = 0

    def idle(self) -> None:
        """The queue is empty: time passes without grants for want of work."""
        self.busy_since = None

    def granted(self, now: float) -> None:
        """Count one grant."""
        if self.busy_since is None:
            return
        self.weight = self.weight * self.decay(now) + 1
        self.updated_at = now
        self.grants += 1

    def decay(self, now: float) -> float:
        """What is left of the weight of past grants."""
        return math.exp((self.updated_at - now) / AVERAGING_SECONDS)

    def per_second(self, now: float) -> float | None:
        """Rate, or None while too little was measured."""
        if self.busy_since is None or self.grants < MIN_GRANTS:
            return None
        elapsed = now - self.busy_since
        if elapsed < MIN_BUSY_SECONDS:
            return None
        observed = AVERAGING_SECONDS * -math.expm1(-elapsed / AVERAGING_SECONDS)
        return self.weight * self.decay(now) / observed
