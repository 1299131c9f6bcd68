"""Fleets of routers inside the test process."""

import asyncio
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from pollenloom.core.ids import VmId
from tests.fleet import FleetMemberServices, eventually, make_router

FLEET_SIZE = 8
PROCESS_VM = 'vm-9'


class MembershipFleet:
    """Routers of two data centres that joined through the first one."""

    def __init__(self, key_file: Path) -> None:
        self.key_file = key_file
        self.routers: list[FleetMemberServices] = []

    async def add(
        self, vm: str, listen: str, *seeds: str
    ) -> FleetMemberServices:
        """Start one more router."""
        data_centre = 'enschede' if int(vm[-1]) % 2 else 'hengelo'
        router = make_router(self.key_file, vm, data_centre, seeds, listen)
        await router.kernel.start()
        self.routers.append(router)
        return router

    async def kill(self, vm: str) -> FleetMemberServices:
        """End a router abruptly, as if its process was killed."""
        router = self.router(vm)
        self.routers.remove(router)
        await router.kill()
        return router

    def router(self, vm: str) -> FleetMemberServices:
        """Return the router on a VM."""
        return next(router for router in self.routers if router.vm == VmId(vm))

    def all_see_each_other(self) -> bool:
        """Whether every router sees exactly these routers as live."""
        return all(router.sees(self.routers) for router in self.routers)


@pytest.fixture
async def fleet(fleet_key_file: Path) -> AsyncIterator[MembershipFleet]:
    fleet = MembershipFleet(fleet_key_file)
    first = await fleet.add('vm-0', '127.0.0.10:0')
    for number in range(1, FLEET_SIZE):
        listen = f'127.0.0.{10 + number}:0'
        await fleet.add(f'vm-{number}', listen, first.network.address)
    await eventually(fleet.all_see_each_other)
    yield fleet
    await asyncio.gather(*[router.kernel.stop() for router in fleet.routers])


@pytest.fixture
async def router_process(
    fleet: MembershipFleet,
) -> AsyncIterator[asyncio.subprocess.Process]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.fleet_process',
        str(fleet.key_file),
        PROCESS_VM,
        fleet.routers[0].network.address,
    )
    yield process
    process.kill()
    await process.wait()
