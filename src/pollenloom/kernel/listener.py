"""Services that listen on an address."""

from typing import Protocol, runtime_checkable


@runtime_checkable
class Listener(Protocol):
    """A service that knows the address it listens on.

    Attributes:
        address: `host:port` after the start, with the port that the system
            chose if the settings name port 0.
    """

    address: str
