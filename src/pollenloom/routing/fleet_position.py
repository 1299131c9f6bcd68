"""Position of a router in the fleet."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetPosition:
    """Position of a router in the fleet.

    Attributes:
        rank: Position by VM id, from 0.
        routers: Number of routers in the fleet.
    """

    rank: int
    routers: int
