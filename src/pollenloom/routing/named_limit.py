"""Limit on requests that a backend server has named."""

from dataclasses import dataclass

from pollenloom.core.ids import ServerId


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What a server said last about the requests that it takes.

    Attributes:
        server: The server.
        started_at: Start of the server's process, see `ServerEntry`; a server
            that has started again knows nothing of its limit.
        rate: Requests a second from all routers together; None if it no longer
            names a limit.
    """

    server: ServerId
    started_at: float
    rate: float | None
