"""Source of the current time."""

import time


class Clock:
    """Monotonic and wall time; tests replace it by a controllable clock."""

    def monotonic(self) -> float:
        """Seconds since an arbitrary point; never decreases."""
        return time.monotonic()

    def uptime(self) -> float:
        """Seconds since the machine started, with the time it was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        return time.time()
