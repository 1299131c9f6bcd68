"""Limits that servers name on the requests that they take from a fleet."""

import asyncio
from collections.abc import Iterator

import pytest

from pollenloom.core.ids import ServerId
from tests.admission.local_fleet import Engine, LocalFleet, RequestShape
from tests.admission.simulated_loop import simulate

ANSWER = RequestShape('answer', 830, 200, 290, 0.5, 10, 40)
ENGINES = 6
SLOTS = 128
LIMITED = tuple(ServerId(f'i-{number}') for number in range(4))
LIMIT_SECOND = 4
END_SECOND = 18
# The users' rule: from this long after the first naming, no window may have
# more than the share of the limit and the slack, from routers that have known
# it for a while.
RULE_AFTER_SECONDS = 3.0
WINDOW_SECONDS = 4.0
KNOWN_SECONDS = 0.5
MAX_SHARE = 1.5
SLACK_REQUESTS = 5


async def run_fleet(
    routers: int, limit: float, per_second: float, entry_routers: int
) -> LocalFleet:
    """Run a fleet in which most engines name a limit after a while.

    First attempts reach the first `entry_routers` routers only.
    """
    fleet = LocalFleet(routers, ENGINES, SLOTS)
    await fleet.start()
    fleet.spawn(fleet.ask('shop', ANSWER, per_second, range(entry_routers)))
    fleet.spawn(fleet.ask('bakery', ANSWER, per_second / 10, range(routers)))
    await asyncio.sleep(LIMIT_SECOND)
    for server in LIMITED:
        fleet.engines[server].rate_limit = limit
    await asyncio.sleep(END_SECOND - LIMIT_SECOND)
    await fleet.stop()
    return fleet


def counted_arrivals(engine: Engine) -> Iterator[float]:
    """Yield the arrivals from routers that knew the limit."""
    for at, vm in engine.arrivals:
        if at >= engine.told_at.get(vm, at) + KNOWN_SECONDS:
            yield at


def largest_window(engine: Engine) -> int:
    """Return the most arrivals in a window while the rule holds."""
    begin = min(engine.told_at.values()) + RULE_AFTER_SECONDS
    arrivals = list(counted_arrivals(engine))
    return max(
        (
            sum(end - WINDOW_SECONDS <= at <= end for at in arrivals)
            for end in arrivals
            if end >= begin
        ),
        default=0,
    )


@pytest.mark.parametrize(
    ('routers', 'entry_routers', 'limit', 'per_second'),
    [
        (7, 7, 6.5, 110),
        (7, 2, 6.5, 110),
        (71, 71, 6.5, 300),
        (71, 23, 6.5, 300),
        (71, 71, 0.5, 300),
        (1, 1, 40, 400),
    ],
)
def test_fleet_keeps_to_the_limit_of_a_server(
    routers: int, entry_routers: int, limit: float, per_second: float
) -> None:
    """Guards against routers that each keep to a limit meant for all.

    A limited server must not be left idle either.
    """
    fleet = simulate(run_fleet(routers, limit, per_second, entry_routers))
    for server in LIMITED:
        engine = fleet.engines[server]
        allowed = MAX_SHARE * limit * WINDOW_SECONDS + SLACK_REQUESTS
        assert largest_window(engine) <= allowed
        seconds = END_SECOND - LIMIT_SECOND - RULE_AFTER_SECONDS
        last = max(at for at, _ in engine.arrivals) - seconds
        served = sum(at >= last for at, _ in engine.arrivals)
        assert served >= limit * seconds / 2
