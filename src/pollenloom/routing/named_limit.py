"""Limit on requests that a backend server has named."""

from dataclasses import dataclass
from typing import Final

from pollenloom.core.ids import ServerId

# No server answers as many requests a second. A limit above it limits nothing.
MAX_RATE: Final = 1_000_000.0


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What a server said last about the requests that it takes.

    Attributes:
        server: The server.
        started_at: Start of the server's process, see `ServerEntry`; a server
            that has started again knows nothing of its limit.
        rate: Requests a second from all routers together; None if it no longer
            names a limit.

    Raises:
        ValueError: If the rate is out of range.
    """

    server: ServerId
    started_at: float
    rate: float | None

    def __post_init__(self) -> None:
        """Validate the rate, which other routers state too.

        Raises:
            ValueError: If it is out of range.
        """
        if self.rate is not None and not 0 <= self.rate <= MAX_RATE:
            raise ValueError('rate out of range')
