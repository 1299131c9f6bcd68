"""Shares of client accounts whose routers have learned unlike send windows."""

import asyncio
from statistics import fmean

import pytest

from pollenloom.admission.local_admission import LocalAdmission
from pollenloom.core.ids import VmId
from pollenloom.routing.send_window import INITIAL_WINDOW_TOKENS
from tests.admission.local_fleet import SERVICE, LocalFleet, RequestShape
from tests.admission.simulated_loop import simulate

ROUTERS = 8
ENGINES = 6
SLOTS = 128
# All requests have the same size, so that what an account gets does not vary
# with the sizes of the requests that are let in.
LABEL = RequestShape('label', 2_400, 570, 22, 1.2, 3, 50)
# Requests a second of each of two accounts, as many as the engines can read.
DEMAND = 180
SMALL_DEMAND = 30
# Tokens of the windows of two routers that adapted them to what each saw.
LARGE_WINDOW = 45_000.0
SMALL_WINDOW = 15_000.0
# The routers know each other's windows and demand by then.
FIRST_SECOND = 2
END_SECOND = 12
# Largest deviation of windows and shares that are meant to be the same.
TOLERANCE = 0.15


def mean_window(admission: LocalAdmission) -> float:
    """Return the mean limit of a router's send windows."""
    return admission.pool(SERVICE).servers.mean_window()


def set_windows(fleet: LocalFleet) -> None:
    """Give one router large windows and the others small ones."""
    for number, admission in enumerate(fleet.admissions):
        for server in fleet.catalogue.directory.servers:
            load = admission.pool(SERVICE).servers.server_load(server, 0)
            is_large = number == 0
            load.window.limit = LARGE_WINDOW if is_large else SMALL_WINDOW


async def run_fleet(seed: int) -> LocalFleet:
    """Run two accounts with equal demand, each at a router of its own."""
    fleet = LocalFleet(ROUTERS, ENGINES, SLOTS, seed)
    await fleet.start()
    set_windows(fleet)
    for router in range(2):
        fleet.spawn(fleet.ask(f'a-{router}', LABEL, DEMAND, (router,)))
    fleet.spawn(fleet.ask('small', LABEL, SMALL_DEMAND, range(ROUTERS)))
    await asyncio.sleep(END_SECOND)
    await fleet.stop()
    return fleet


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_share_does_not_follow_from_the_windows_of_a_router(seed: int) -> None:
    """Guards against accounts that lose to others whose router sends more.

    Routers adapted their send windows to the responses that each of them saw.
    The level of the shares, idle room and the room to send to all follow from
    the windows, so an account got less the smaller those of its router were.
    """
    fleet = simulate(run_fleet(seed))
    begun = [
        sum(
            fleet.seconds[f'a-{router}'].begun[second]
            for second in range(FIRST_SECOND, END_SECOND)
        )
        for router in range(2)
    ]
    assert min(begun) >= (1 - TOLERANCE) * max(begun), begun


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_routers_come_to_the_same_windows(seed: int) -> None:
    """Guards against windows that drift apart, as only busy ones can grow."""
    fleet = simulate(run_fleet(seed))
    windows = [mean_window(admission) for admission in fleet.admissions]
    usual = fmean(windows)
    assert max(windows) <= (1 + TOLERANCE) * usual, windows
    assert min(windows) >= (1 - TOLERANCE) * usual, windows


LARGE_FLEET_ROUTERS = 64
# Requests a second at the router with most requests and at all routers
# together; the engines have room for several times as many.
BUSY_DEMAND = 60
SPREAD_DEMAND = 60
# More than a queue may take of the objective of these requests.
ROUTER_DELAY = 0.9


async def run_delayed_router(seed: int) -> LocalFleet:
    """Run a large fleet in which the busiest router is slow itself."""
    fleet = LocalFleet(LARGE_FLEET_ROUTERS, 2 * ENGINES, SLOTS, seed)
    await fleet.start()
    fleet.router_delays[VmId('r-0')] = ROUTER_DELAY
    fleet.spawn(fleet.ask('busy', LABEL, BUSY_DEMAND, (0,)))
    fleet.spawn(
        fleet.ask('spread', LABEL, SPREAD_DEMAND, range(LARGE_FLEET_ROUTERS))
    )
    await asyncio.sleep(END_SECOND)
    await fleet.stop()
    return fleet


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_delay_of_a_router_is_not_taken_for_the_queue_of_servers(
    seed: int,
) -> None:
    """Guards against one slow router that shrinks the windows of the fleet.

    The router with most requests noticed first bytes late, as its event loop
    was busy, while servers were idle. The smaller windows of all routers moved
    requests away from the servers that had read their shared parts.
    """
    fleet = simulate(run_delayed_router(seed))
    windows = [mean_window(admission) for admission in fleet.admissions]
    assert min(windows) >= (1 - TOLERANCE) * INITIAL_WINDOW_TOKENS, windows
