"""Service gap between backlogged accounts over the whole fleet."""

import asyncio
from collections.abc import Callable, Coroutine

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pollenloom.core.ids import VmId
from pollenloom.settings.router_settings import AdmissionSettings
from tests.admission import fake_faults
from tests.admission.fake_fleet import FakeFleet
from tests.admission.fake_settings import ENSCHEDE, HENGELO
from tests.admission.gap_bound import gap_bound
from tests.admission.simulated_loop import simulate

LARGEST_COST = 400
SLOTS = 16
# Router of the small account; in the data centre whose owner is not restarted.
SMALL_ACCOUNT_ROUTER = VmId('r1')
Disturbance = Callable[[FakeFleet], Coroutine[None, None, int]]


async def no_disturbance(fleet: FakeFleet) -> int:
    await asyncio.sleep(0)
    return 0


async def join(fleet: FakeFleet) -> int:
    """Add routers, some of which become owners."""
    for name in ('j0', 'j1', 'j2'):
        await fleet.add_router(name, ENSCHEDE)
        flood_large(fleet, VmId(name))
        await asyncio.sleep(0.3)
    return 3


async def restart_empty(fleet: FakeFleet) -> int:
    """Restart an owner without its state before others notice its loss."""
    lost = fake_faults.owner(fleet)
    await fleet.kill(lost)
    await asyncio.sleep(0.3)
    await fleet.add_router(lost, ENSCHEDE)
    flood_large(fleet, lost)
    return 1


async def partition_data_centres(fleet: FakeFleet) -> int:
    """Cut the data centres off from each other for a while."""
    fake_faults.partition_data_centres(fleet)
    await asyncio.sleep(4)
    fake_faults.heal(fleet)
    # Cost served during the partition is not charged, so that the bound only
    # holds after it.
    await asyncio.sleep(0.5)
    fleet.served.clear()
    fleet.gaps.clear()
    return 0


def flood_large(fleet: FakeFleet, vm: VmId) -> None:
    router = fleet.routers[vm]
    fleet.flood(
        router, 'large', lambda: fleet.random_source.choice((50, 100, 400))
    )


async def measure_largest_gap(
    fleet: FakeFleet,
    routers: int,
    flooded: int,
    disturb: Disturbance = no_disturbance,
) -> tuple[float, int]:
    """Run a backlogged fleet; return its largest gap and owner changes."""
    for number in range(2):
        fleet.add_server(f'e{number}', ENSCHEDE)
        fleet.add_server(f'h{number}', HENGELO)
    for number in range(routers):
        data_centre = HENGELO if number % 2 else ENSCHEDE
        await fleet.add_router(f'r{number}', data_centre)
    fleet.flood(fleet.routers[SMALL_ACCOUNT_ROUTER], 'small', callers=40)
    for vm in tuple(fleet.routers)[:flooded]:
        flood_large(fleet, vm)
        flood_large(fleet, vm)
    await asyncio.sleep(1)
    fleet.served.clear()
    disturbing = asyncio.create_task(disturb(fleet))
    for _ in range(80):
        await asyncio.sleep(0.1)
        fleet.gaps.append(fleet.gap())
    changes = await disturbing
    await fleet.stop()
    return max(fleet.gaps), changes


@settings(max_examples=10)
@given(
    routers=st.integers(2, 9),
    flooded=st.integers(1, 9),
    delay=st.sampled_from([0.0005, 0.003, 0.02]),
    disturb=st.sampled_from(
        [no_disturbance, join, restart_empty, partition_data_centres]
    ),
)
def test_service_gap_of_the_fleet_is_bounded(
    routers: int,
    flooded: int,
    delay: float,
    disturb: Disturbance,
) -> None:
    """Guards against an account that gains service by flooding the fleet.

    Also guards against overload and idle slots. Hints are off by up to 10x
    both ways, the flood comes through one to all routers, and routers join,
    restart without their state or are cut off.
    """
    fleet = FakeFleet()
    fleet.links.delay = delay
    running = measure_largest_gap(fleet, routers, flooded, disturb)
    largest_gap, changes = simulate(running)
    staleness = 0.25 + delay
    bound = gap_bound(fleet.shares, LARGEST_COST, SLOTS, staleness, changes)
    assert 0 < largest_gap <= bound
    # At a partition the owners free the slots of the other side's routers,
    # whose requests still run, so that a server may exceed its slots.
    if disturb is not partition_data_centres:
        assert max(engine.peak for engine in fleet.engines.values()) == 4
        assert sum(fleet.served.values()) >= 0.7 * SLOTS * 8_000


@pytest.mark.parametrize(
    'admission',
    [
        AdmissionSettings(fair=False),
        AdmissionSettings(policy='static_division', routers=8),
        AdmissionSettings(policy='counter_exchange', routers=8),
        AdmissionSettings(policy='round_robin'),
    ],
    ids=lambda admission: f'{admission.policy}-{admission.fair}',
)
def test_baselines_exceed_the_bound(admission: AdmissionSettings) -> None:
    """Guards against a bound so loose that any policy would keep it."""
    fleet = FakeFleet(admission=admission)
    largest_gap, _ = simulate(measure_largest_gap(fleet, 8, 8))
    bound = gap_bound(fleet.shares, LARGEST_COST, SLOTS, 0.25)
    assert largest_gap > bound


def test_idle_time_gives_no_credit() -> None:
    """Guards against an account that earns credit while it is idle."""

    async def scenario() -> float:
        fleet = FakeFleet()
        fleet.add_server('e0', ENSCHEDE, slots=SLOTS)
        router = await fleet.add_router('r0')
        fleet.flood(router, 'large', callers=60)
        await asyncio.sleep(30)
        fleet.served.clear()
        fleet.flood(router, 'small', callers=60)
        await asyncio.sleep(5)
        await fleet.stop()
        return fleet.gap()

    bound = gap_bound({'small': 1, 'large': 3}, 100, SLOTS, 0)
    assert simulate(scenario()) <= bound


def test_no_account_starves() -> None:
    """Guards against an account with a small share that never gets a slot."""
    shares: dict[str, float] = {f'a{number}': 50 for number in range(12)}

    async def scenario() -> list[float]:
        fleet = FakeFleet(shares={**shares, 'tiny': 1})
        fleet.add_server('e0', ENSCHEDE)
        for name in ('r0', 'r1', 'r2'):
            await fleet.add_router(name)
        for router in fleet.routers.values():
            for account in shares:
                fleet.flood(router, account, callers=4)
        times = []
        for _ in range(3):
            began = asyncio.get_running_loop().time()
            assert await fleet.serve(router, 'tiny', 100)
            times.append(asyncio.get_running_loop().time() - began)
        await fleet.stop()
        return times

    # While the account gets cost 100, the others get 600 x 100 by their shares;
    # the server serves cost 4000 a second.
    assert max(simulate(scenario())) <= 1.2 * 60_000 / 4_000
