"""Detects that this process did not run for a while."""


class PauseDetector:
    """Compares the time between two signs of life with a limit."""

    def __init__(self, limit_seconds: float) -> None:
        self.limit_seconds = limit_seconds
        self.alive_at: float | None = None

    def resumed(self, now: float) -> bool:
        """Note a sign of life; return whether a pause lies before it."""
        last = self.alive_at
        self.alive_at = now
        return last is not None and now - last > self.limit_seconds
