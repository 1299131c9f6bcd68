"""Detection of an overloaded router by the delays of its event loop."""

from typing import Final

# Weight of a new delay in the average, which covers about half a second.
DELAY_WEIGHT: Final = 0.2
# A loop with spare capacity is late by a few milliseconds. At 60 ms the parts
# of a stream are later than callers were promised.
OVERLOADED_SECONDS: Final = 0.06
RECOVERED_SECONDS: Final = 0.02
# At this delay even requests that were already accepted take too long.
SEVERE_OVERLOAD_SECONDS: Final = 0.25


class OverloadDetector:
    """Detects overload by the average delay of the event loop, with hysteresis.

    Attributes:
        delay: Moving average of the delays, seconds.
        is_overloaded: Whether callers should use other routers.
    """

    def __init__(self) -> None:
        self.delay: float = 0
        self.is_overloaded = False

    def observe(self, delay: float) -> bool:
        """Add the number of seconds by which a timer was late.

        Returns:
            Whether `is_overloaded` changed.
        """
        self.delay += DELAY_WEIGHT * (delay - self.delay)
        threshold = OVERLOADED_SECONDS
        if self.is_overloaded:
            threshold = RECOVERED_SECONDS
        was_overloaded = self.is_overloaded
        self.is_overloaded = self.delay > threshold
        return self.is_overloaded is not was_overloaded

    @property
    def is_severely_overloaded(self) -> bool:
        """Whether new requests are rejected so that accepted ones can end."""
        return self.delay > SEVERE_OVERLOAD_SECONDS
