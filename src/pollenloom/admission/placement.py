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
    """

    known: KnownServer
    cost: float
    load: LoadBefore
