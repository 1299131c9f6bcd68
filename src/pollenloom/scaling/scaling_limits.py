"""Bounds of the number of servers of a service."""

from dataclasses import dataclass
from typing import Final

# More than any planned deployment has; larger numbers are mistakes that would
# be billed.
MAX_SERVERS: Final = 65_536
# A day. Servers start in seconds to minutes.
MAX_BOOT_SECONDS: Final = 86_400.0


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """How many servers of a service may be ordered in each data centre.

    Attributes:
        smallest: Smallest number in a data centre.
        largest: Largest number in a data centre.
        boot_seconds: Time from an order until a new server serves.

    Raises:
        ValueError: If a value is out of range.
    """

    smallest: int
    largest: int
    boot_seconds: float

    def __post_init__(self) -> None:
        """Validate the values.

        Raises:
            ValueError: If one is out of range.
        """
        if not 0 <= self.smallest <= MAX_SERVERS:
            raise ValueError('smallest number of servers out of range')
        if not 0 < self.largest <= MAX_SERVERS:
            raise ValueError('largest number of servers out of range')
        if self.smallest > self.largest:
            raise ValueError(
                'smallest number of servers is above the largest:'
                f' {self.smallest} and {self.largest}'
            )
        if not 0 <= self.boot_seconds <= MAX_BOOT_SECONDS:
            raise ValueError(f'boot time out of range: {self.boot_seconds}')

    def bounded(self, servers: int) -> int:
        """Return the nearest number that is allowed in a data centre."""
        return min(max(servers, self.smallest), self.largest)
