"""Rate limit of calls."""


class RateLimit:
    """Token bucket with the capacity of one second's calls, at least one.

    Attributes:
        per_second: Calls allowed per second.
        available_calls: Calls allowed at `refilled_at`.
        refilled_at: Time of the last refill in seconds.
    """

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.available_calls = max(per_second, 1)
        self.refilled_at: float = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether one more call is within the limit, and count it."""
        refill = (now - self.refilled_at) * self.per_second
        self.available_calls = min(
            max(self.per_second, 1), self.available_calls + refill
        )
        self.refilled_at = now
        if self.available_calls < 1:
            return False
        self.available_calls -= 1
        return True
