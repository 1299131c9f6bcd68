"""Throughput of the engines after a time of less capacity."""

import asyncio

import pytest

from tests.admission.local_fleet import LocalFleet
from tests.admission.request_mix import MIX
from tests.admission.simulated_loop import simulate

ENGINES = 24
SLOTS = 12
ACCOUNTS = 12
# Requests a second that all engines together can't serve.
DEMAND = 700
SLOW = range(5, 9)
SLOWDOWN = 4
RECOVERY_SECONDS = 2
END_SECOND = 15
RECOVERED_PART = 0.9


async def start_overload(routers: int, seed: int) -> LocalFleet:
    """Start a fleet of which more is asked than its engines can serve."""
    fleet = LocalFleet(routers, ENGINES, SLOTS, seed)
    await fleet.start()
    for account in range(ACCOUNTS):
        for shape, part in MIX:
            rate = DEMAND / ACCOUNTS * part
            fleet.spawn(fleet.ask(f'a-{account}', shape, rate, range(routers)))
    return fleet


async def run_fleet(routers: int, seed: int) -> LocalFleet:
    """Run a fleet whose engines are slow for some seconds."""
    fleet = await start_overload(routers, seed)
    await asyncio.sleep(SLOW.start)
    for engine in fleet.engines.values():
        engine.slowdown = SLOWDOWN
    await asyncio.sleep(len(SLOW))
    for engine in fleet.engines.values():
        engine.slowdown = 1
    await asyncio.sleep(END_SECOND - SLOW.stop)
    await fleet.stop()
    return fleet


def begun(fleet: LocalFleet, seconds: range) -> float:
    """Return the tokens that began in a second on the mean."""
    return sum(
        account.begun[second]
        for account in fleet.seconds.values()
        for second in seconds
    ) / len(seconds)


@pytest.mark.parametrize('routers', [4, 40])
@pytest.mark.parametrize('seed', [1, 2])
def test_throughput_is_back_soon_after_engines_were_slow(
    routers: int, seed: int
) -> None:
    """Guards against a capacity that is learned from what it allows.

    Routers took on only a little more than what had begun lately. After a time
    of less capacity they refused most requests while engines had room, and the
    throughput grew by a twentieth a second.
    """
    fleet = simulate(run_fleet(routers, seed))
    usual = begun(fleet, range(2, SLOW.start))
    slow = begun(fleet, range(SLOW.start + 2, SLOW.stop))
    recovered = begun(fleet, range(SLOW.stop + RECOVERY_SECONDS, SLOW.stop + 4))
    assert slow < usual / 2
    assert recovered >= RECOVERED_PART * usual


async def run_overload(routers: int, seed: int) -> LocalFleet:
    """Run such a fleet for some seconds."""
    fleet = await start_overload(routers, seed)
    await asyncio.sleep(SLOW.stop)
    await fleet.stop()
    return fleet


@pytest.mark.parametrize('routers', [4, 40])
@pytest.mark.parametrize('seed', [1, 2])
def test_most_requests_begin_in_time_under_overload(
    routers: int, seed: int
) -> None:
    """Guards against engines so full that most answers are late.

    Requests were taken on until nothing was free, and all routers sent to what
    became free: at 40 routers two of three began later than their objective,
    counted from the engine alone.
    """
    fleet = simulate(run_overload(routers, seed))
    seconds = range(2, SLOW.stop)
    answered = 0
    slow = 0
    for account in fleet.seconds.values():
        answered += sum(account.answered[second] for second in seconds)
        slow += sum(account.slow[second] for second in seconds)
    assert slow < answered / 2
