"""Detection of pauses of this process."""


class PauseDetector:
    """Compares the time between two checks with a limit."""

    def __init__(self, limit_seconds: float) -> None:
        self.limit_seconds = limit_seconds
        self.checked_at: float | None = None

    def check_resumed(self, now: float) -> bool:
        """Record a check; return whether the process paused before it."""
        last = self.checked_at
        self.checked_at = now
        return last is not None and now - last > self.limit_seconds
