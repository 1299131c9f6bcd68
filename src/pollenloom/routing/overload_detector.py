"""Tells from the delays of the event loop that a router has too much to do."""

from typing import Final

# Weight of a new delay; the delays of half a second count.
WEIGHT: Final = 0.2
# A loop with room is late by a few milliseconds. At 60 ms a stream's pieces
# are late by more than the callers are promised.
OVERLOADED_SECONDS: Final = 0.06
RECOVERED_SECONDS: Final = 0.02
# Then even the requests that are here already take too long.
SEVERE_OVERLOAD_SECONDS: Final = 0.25


class OverloadDetector:
    """Average delay of the event loop, with hysteresis.

    Attributes:
        is_overloaded: Whether callers should go to other routers.
    """

    def __init__(self) -> None:
        self.delay: float = 0
        self.is_overloaded = False

    def observe(self, delay: float) -> bool:
        """Note by how many seconds a timer was late.

        Returns:
            Whether `is_overloaded` changed.
        """
        self.delay += WEIGHT * (delay - self.delay)
        bound = OVERLOADED_SECONDS
        if self.is_overloaded:
            bound = RECOVERED_SECONDS
        was_overloaded = self.is_overloaded
        self.is_overloaded = self.delay > bound
        return self.is_overloaded is not was_overloaded

    @property
    def is_severely_overloaded(self) -> bool:
        """Whether new requests must be refused to get through the others."""
        return self.delay > SEVERE_OVERLOAD_SECONDS
