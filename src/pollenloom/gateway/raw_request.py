"""A request as received from a caller."""

from dataclasses import dataclass

from pollenloom.gateway.headers import Header, find_header


@dataclass(frozen=True, slots=True)
class RawRequest:
    """One complete HTTP request.

    Attributes:
        target: Path and query as received.
        headers: Headers with lower-case names.
        received_at: Monotonic time in seconds when the head was complete.
        keeps_alive: Whether the caller keeps the connection open.
        held_bytes: Memory that the request takes.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    received_at: float
    keeps_alive: bool
    held_bytes: int = 0

    @property
    def host(self) -> str:
        """Host without port, in lower case."""
        host = (
            (find_header(self.headers, b'host') or b'')
            .decode('latin-1')
            .lower()
        )
        name, colon, port = host.rpartition(':')
        return name if colon and port.isdigit() else host

    @property
    def path(self) -> str:
        """Path without query."""
        return self.target.partition(b'?')[0].decode('latin-1')
