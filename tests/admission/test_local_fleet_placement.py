"""Shares of client accounts whose callers reach few or all of the routers."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import pytest

from pollenloom.core.ids import ServerId
from tests.admission.local_fleet import LocalFleet
from tests.admission.request_mix import LARGEST_TOKENS, MIX
from tests.admission.share_windows import ShareWindow, share_windows
from tests.admission.simulated_loop import simulate

ROUTERS = 70
ENGINES = 24
END_SECOND = 11
# Seconds until the routers know each other's demand.
FIRST_SECOND = 2
# Routers of the callers of accounts. The balancer's hash gives the first four
# routers most of the requests of an account that has many callers.
SPREAD = (
    *(48 * (0,)),
    *(21 * (1,)),
    *(14 * (2,)),
    *(11 * (3,)),
    *range(4, ROUTERS),
)
BUSIEST = (0,)
BUSY = (0, 1)
IDLE = (60,)


@dataclass(frozen=True, slots=True)
class Limit:
    """What limits the engines.

    Attributes:
        slots: Requests that an engine runs at a time.
        rate: Requests a second that most engines name as their limit, if any.
    """

    slots: int
    rate: float | None = None


READING = Limit(slots=128)
SLOTS = Limit(slots=5)
RATE = Limit(slots=12, rate=4)
LOW_RATE = Limit(slots=12, rate=2)

Loads = Mapping[str, tuple[float, Sequence[int]]]
# Accounts that ask for a little more than their share, at different places.
MODEST: Loads = {
    'busiest': (40, BUSIEST),
    'busy': (40, BUSY),
    'idle': (40, IDLE),
    'spread': (40, SPREAD),
}
GREEDY_SPREAD: Loads = {
    **MODEST,
    'greedy-spread': (300, SPREAD),
    'greedy-busiest': (300, BUSIEST),
}
GREEDY_BUSY: Loads = {**MODEST, 'greedy-busy': (450, BUSY)}
GREEDY_IDLE: Loads = {**MODEST, 'greedy-idle': (450, range(4, ROUTERS))}


async def run_fleet(
    limit: Limit,
    loads: Loads,
    seed: int,
) -> LocalFleet:
    """Run accounts, given by requests a second and routers of the callers."""
    fleet = LocalFleet(ROUTERS, ENGINES, limit.slots, seed)
    await fleet.start()
    if limit.rate is not None:
        for number in range(ENGINES * 7 // 10):
            server = ServerId(f'i-{number}')
            fleet.engines[server].rate_limit = limit.rate
    for account, (per_second, callers) in loads.items():
        for shape, part in MIX:
            fleet.spawn(fleet.ask(account, shape, per_second * part, callers))
    await asyncio.sleep(END_SECOND)
    await fleet.stop()
    return fleet


def smallest_window(fleet: LocalFleet) -> ShareWindow:
    """Return the window in which an account is nearest to less than a share."""
    windows = share_windows(
        fleet.seconds, range(FIRST_SECOND, END_SECOND), LARGEST_TOKENS
    )
    return min(windows, key=lambda window: window.margin)


@pytest.mark.parametrize(
    ('limit', 'loads'),
    [
        (READING, GREEDY_SPREAD),
        (SLOTS, GREEDY_SPREAD),
        (RATE, GREEDY_SPREAD),
        (LOW_RATE, GREEDY_BUSY),
        (SLOTS, GREEDY_BUSY),
        (LOW_RATE, GREEDY_IDLE),
        (SLOTS, GREEDY_IDLE),
    ],
    ids=[
        'reading, greedy everywhere',
        'slots, greedy everywhere',
        'rate, greedy everywhere',
        'low rate, greedy at busy routers',
        'slots, greedy at busy routers',
        'low rate, greedy at idle routers',
        'slots, greedy at idle routers',
    ],
)
def test_share_does_not_follow_from_the_routers_of_the_callers(
    limit: Limit, loads: Loads
) -> None:
    """Guards against accounts that are deprived by where their callers are.

    Routers raced for the room of the servers, so that an account got what its
    routers won, and a router that lost the race refused more and lost again.
    """
    window = smallest_window(simulate(run_fleet(limit, loads, seed=1)))
    assert window.margin >= 0, window
