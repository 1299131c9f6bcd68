"""Limit on the requests that a cold server gets from this router."""

from typing import Final

# A second request in the same instant would double the burst of the fleet.
BURST: Final = 1.0


class ColdGate:
    """Token bucket of one cold server.

    The rate is this router's even part of what the server bears, so that the
    sum over the fleet holds although routers do not hear of each other.
    """

    def __init__(self, now: float) -> None:
        self.tokens = BURST
        self.counted_at = now

    def may_send(self, rate: float, now: float) -> bool:
        """Whether a request may be sent at `now`; `rate` is per second."""
        passed = max(0, now - self.counted_at)
        self.counted_at = now
        self.tokens = min(BURST, self.tokens + passed * rate)
        return self.tokens >= 1

    def take(self) -> None:
        """Count a request that is sent."""
        self.tokens -= 1
