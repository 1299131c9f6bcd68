"""Place of a router in the fleet."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetPosition:
    """Rank of a router, from 0, and size of the fleet."""

    rank: int
    routers: int
