"""Random sequences of faults, with requests longer than a takeover."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from pollenloom.core.ids import VmId
from tests.admission import fake_faults
from tests.admission.fake_fleet import FakeFleet
from tests.admission.fake_settings import ENSCHEDE, HENGELO
from tests.admission.simulated_loop import simulate

SLOTS = 6
COSTS = (50, 300, 2500)
Fault = Callable[[FakeFleet, VmId], Awaitable[None]]


def flood(fleet: FakeFleet, vm: VmId) -> None:
    def cost() -> float:
        return fleet.random_source.choice(COSTS)

    for account in fleet.shares:
        fleet.flood(fleet.routers[vm], account, cost)


async def kill_owner(fleet: FakeFleet, vm: VmId) -> None:
    await fleet.kill(fake_faults.owner(fleet))
    await asyncio.sleep(fleet.random_source.choice((0.6, 1, 3)))
    fleet.announce_members()


async def restart(fleet: FakeFleet, vm: VmId) -> None:
    data_centre = fleet.members[vm].data_centre
    await fleet.kill(vm)
    await asyncio.sleep(fleet.random_source.random())
    await fleet.add_router(vm, data_centre)
    flood(fleet, vm)


async def join(fleet: FakeFleet, vm: VmId) -> None:
    name = VmId(f'{vm}-{next(fleet.sequence_numbers)}')
    await fleet.add_router(name, fleet.members[vm].data_centre)
    flood(fleet, name)


async def drop_server(fleet: FakeFleet, vm: VmId) -> None:
    servers = fleet.configuration.backend_servers
    dropped = servers.pop(0)
    fleet.configuration.changed()
    await asyncio.sleep(3 * fleet.random_source.random())
    servers.append(dropped)
    fleet.configuration.changed()


FAULTS: tuple[Fault, ...] = (kill_owner, restart, join, drop_server)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_limits_hold_under_random_faults(seed: int) -> None:
    """Guards against overload or leaked grants after several faults in a row.

    Each fault alone may pass: state that one leaves behind breaks the next.
    """

    async def scenario() -> None:
        fleet = FakeFleet(random_source=random.Random(seed))
        for number, data_centre in enumerate((ENSCHEDE, HENGELO) * 2):
            fleet.add_server(
                f's{number}', data_centre, slots=SLOTS, cold_slots=3
            )
        for number, data_centre in enumerate((ENSCHEDE, HENGELO) * 4):
            vm = VmId(f'r{number}')
            await fleet.add_router(vm, data_centre)
            flood(fleet, vm)
        await asyncio.sleep(2)
        for _ in range(6):
            vm = fleet.random_source.choice(sorted(fleet.routers))
            await fleet.random_source.choice(FAULTS)(fleet, vm)
            await asyncio.sleep(3 * fleet.random_source.random())
        await asyncio.sleep(5)
        engines = fleet.engines.values()
        assert max(engine.peak for engine in engines) == SLOTS
        assert min(engine.in_flight for engine in engines) >= SLOTS - 1
        await fleet.stop_callers(*fleet.tasks)
        await asyncio.sleep(15)
        assert fake_faults.open_grants(fleet) == 0
        await fleet.stop()

    simulate(scenario())
