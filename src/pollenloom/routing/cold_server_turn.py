"""Time slots in which the routers of a fleet may send to cold servers."""

from dataclasses import dataclass
from typing import Final

# Time during which a turn may be used. The requests of any one second belong
# to turns that began within 1.25 s. That is up to 25% more than the rate of a
# cold server, which may be exceeded by 50%.
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

    An equal share of the rate for each router would not limit the sum in a
    fleet with more routers than a server accepts requests in a second: all
    could send their first request at once. Instead the turns of the routers
    follow each other by wall clock, so that no messages are needed.

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
