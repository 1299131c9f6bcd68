"""Placement of a request on a backend server."""

from dataclasses import dataclass

from pollenloom.routing.server_directory import KnownServer


@dataclass(frozen=True, slots=True)
class Placement:
    """A chosen server, and the tokens charged to its send window."""

    known: KnownServer
    cost: float
