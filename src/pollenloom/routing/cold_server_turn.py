"""Turns in which the routers of a fleet send to cold servers."""

from dataclasses import dataclass
from typing import Final

# A turn is open for so long. Sent times of a second then belong to the turns
# of 1.25 seconds, which is within the half that the bound allows on top.
OPEN_SECONDS: Final = 0.25


@dataclass(frozen=True, slots=True)
class ColdServerTurn:
    """The turn of this router at one moment.

    Attributes:
        number: Of the turn; each allows one request for each cold server.
        is_open: Whether it may be used now.
    """

    number: int
    is_open: bool


# For a router that does not know yet who else is there.
CLOSED: Final = ColdServerTurn(0, is_open=False)


def cold_turn(
    rate: float, rank: int, routers: int, wall: float
) -> ColdServerTurn:
    """Return the turn of a router.

    Even parts of the rate do not keep it where the fleet is larger than what
    a server bears in a second: all routers may use their first part at once.
    So each has its turn, one after the other by wall clock, without hearing
    of each other.

    Args:
        rate: What a cold server bears, requests a second.
        rank: Place of the router in the fleet, from 0.
        routers: Size of the fleet.
        wall: Wall time in seconds.
    """
    period = routers / rate
    passed = wall - rank / rate
    number, since = divmod(passed, period)
    return ColdServerTurn(int(number), is_open=since < OPEN_SECONDS)
