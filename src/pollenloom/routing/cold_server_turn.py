"""Time slots in which the routers of a fleet may send to cold servers."""

from dataclasses import dataclass
from typing import Final

import xxhash

from pollenloom.core.ids import ServerId
from pollenloom.routing.fleet_position import FleetPosition

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
        gap_seconds: Time between two requests in turns that follow each other
            closest. While routers come and go, the turns of a router move.
    """

    number: int
    is_open: bool
    gap_seconds: float


# For a router that has not read the fleet directory yet.
CLOSED_TURN: Final = ColdServerTurn(0, is_open=False, gap_seconds=0)


def cold_turn(
    rate: float, position: FleetPosition, fleet_time: float, server: ServerId
) -> ColdServerTurn:
    """Return the current turn of a router for a server.

    An equal share of the rate for each router would not limit the sum in a
    fleet with more routers than a server accepts requests in a second: all
    could send their first request at once. Instead the turns of the routers
    follow each other by the time that they have in common, so that no messages
    are needed. The time of day would not do: a machine on which it jumps has
    two turns within a second, and later ones at the time of other routers.

    The turns of a router for different servers are spread over time. If it had
    them all at once, it would seldom have enough requests waiting then, and
    requests that come in between would find no server.

    Args:
        rate: Requests a second that a cold server accepts.
        position: Position of the router in the fleet.
        fleet_time: Time that the routers have in common, seconds.
        server: The server.
    """
    shift = xxhash.xxh3_64_intdigest(server.encode())
    rank = (position.rank + shift) % position.routers
    period = position.routers / rate
    elapsed = fleet_time - rank / rate
    number, since_start = divmod(elapsed, period)
    return ColdServerTurn(
        int(number),
        is_open=since_start < TURN_OPEN_SECONDS,
        gap_seconds=max(0, period - TURN_OPEN_SECONDS),
    )
