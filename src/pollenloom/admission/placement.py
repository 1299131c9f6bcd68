"""Placement of a request on a backend server."""

from dataclasses import dataclass

from pollenloom.routing.load_before import LoadBefore
from pollenloom.routing.server_directory import KnownServer


@dataclass(frozen=True, slots=True)
class Placement:
    """A chosen server.

    Attributes:
        known: The server.
        cost: Tokens charged to its send window.
        load: Load of the server before the request.
        is_preferred: Whether the server probably has the prefix cached.
        is_elsewhere: Whether it is in another data centre than the preferred
            one.
    """

    known: KnownServer
    cost: float
    load: LoadBefore
    is_preferred: bool = False
    is_elsewhere: bool = False
