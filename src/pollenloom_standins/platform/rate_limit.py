"""Limit of calls per second."""


class RateLimit:
    """Token bucket that holds one second's calls."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.left = max(per_second, 1)
        self.filled_at: float = 0

    def take(self, now: float) -> bool:
        """Whether one more call is within the limit; counts it if so."""
        gained = (now - self.filled_at) * self.per_second
        self.left = min(max(self.per_second, 1), self.left + gained)
        self.filled_at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True
