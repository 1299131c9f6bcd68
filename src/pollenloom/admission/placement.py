"""Where a request goes."""

from dataclasses import dataclass

from pollenloom.routing.server_directory import KnownServer


@dataclass(frozen=True, slots=True)
class Placement:
    """A chosen server and the cost that its window was charged."""

    known: KnownServer
    cost: float
