"""How much unread prompt this router may have waiting at one server."""

from typing import Final

# Tokens; a server reads some 100 tokens in a millisecond.
FIRST_WINDOW: Final = 40_000.0
SMALLEST_WINDOW: Final = 8_000.0
LARGEST_WINDOW: Final = 400_000.0
# A first byte later than this part of the objective shows a queue at the
# server that grows.
LATE_SHARE: Final = 0.75
DECREASE: Final = 0.75
INCREASE: Final = 1.05
# One queue delays many answers; it is one reason to send less.
DECREASE_PAUSE_SECONDS: Final = 0.3


class SendWindow:
    """Additive cost in flight before the first byte, adapted to latency.

    Servers take requests in the order of their arrival, so what must wait
    waits here, in fair order. All routers see the same latency and shrink
    together, without exchanging counts.
    """

    def __init__(self) -> None:
        self.limit = FIRST_WINDOW
        self.outstanding: float = 0
        self.decreased_at = float('-inf')

    def has_room(self, cost: float) -> bool:
        """Whether a request fits; one is always let through."""
        return not self.outstanding or self.outstanding + cost <= self.limit

    def sent(self, cost: float) -> None:
        """Count a request that is sent."""
        self.outstanding += cost

    def released(self, cost: float) -> None:
        """Count a request whose first byte or end came."""
        self.outstanding = max(0, self.outstanding - cost)

    def observe(self, seconds: float, objective: float, now: float) -> None:
        """Adapt the limit to a time to the first byte."""
        if seconds <= objective * LATE_SHARE:
            used = self.outstanding > self.limit / 2
            if used:
                self.limit = min(LARGEST_WINDOW, self.limit * INCREASE)
            return
        if now - self.decreased_at < DECREASE_PAUSE_SECONDS:
            return
        self.decreased_at = now
        self.limit = max(SMALLEST_WINDOW, self.limit * DECREASE)
