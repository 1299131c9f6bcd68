"""Source of the present time."""

import time


class Clock:
    """Monotonic and wall time; tests replace it by a clock they set."""

    def monotonic(self) -> float:
        """Seconds since an arbitrary point, never going back."""
        return time.monotonic()

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        return time.time()
