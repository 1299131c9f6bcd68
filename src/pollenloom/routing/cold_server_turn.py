"""Time slots in which the routers of a fleet may send to cold servers."""

from dataclasses import dataclass
from typing import Final

# Time during which a turn may be used. The requests of any one second then
# belong to turns of 1.25 s, which is within the 50% by which the rate of a
# cold server may be exceeded.
TURN_OPEN_SECONDS: Final = 0.25


@dataclass(frozen=True, slots=True)
class ColdServerTurn:
    """The turn of this router at one moment.

    Attributes:
        number: Number of the turn; each turn allows one request to each cold
            server.
        is_open: Whether the turn may be used now.
    """

    number: int
    is_open: bool


# For a router that has not read the fleet directory yet.
CLOSED_TURN: Final = ColdServerTurn(0, is_open=False)


def cold_turn(
    rate: float, rank: int, routers: int, wall: float
) -> ColdServerTurn:
    """Return the current turn of a router.

    Equal shares of the rate would not keep it in a fleet with more routers
    than a server accepts requests in a second: all routers could use their
    first share at once. Instead the turns of the routers follow each other by
    wall clock, so that no messages are needed.

    Args:
        rate: Requests a second that a cold server accepts.
        rank: Position of the router in the fleet, from 0.
        routers: Number of routers in the fleet.
        wall: Wall time in seconds.
    """
    period = routers / rate
    elapsed = wall - rank / rate
    number, since_start = divmod(elapsed, period)
    return ColdServerTurn(int(number), is_open=since_start < TURN_OPEN_SECONDS)
