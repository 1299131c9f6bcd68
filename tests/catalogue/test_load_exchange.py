"""Load reports between routers, over sockets of this process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest

from pollenloom.catalogue.fleet_census import FleetCensus
from pollenloom.catalogue.load_exchange import (
    LARGEST_DIRECT_FLEET,
    LoadExchange,
)
from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.routing.service_load import ServiceLoad
from pollenloom.settings.node_settings import (
    BoundSettings,
    ListenSettings,
    MachineSettings,
    NodeSettings,
    StoreSettings,
)

SERVICE = ServiceId('answers')
SERVER = ServerId('i-1')
DATA_CENTRES = (DataCentreId('enschede'), DataCentreId('almelo'))
WAIT_SECONDS = 10


class ListedCensus(FleetCensus):
    """A census whose list the test writes."""

    def __init__(self, listed: list[FleetRouter]) -> None:
        self.listed = listed

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    def size(self, _now: float) -> int:
        """Return the length of the list."""
        return len(self.listed)

    def routers(self) -> tuple[FleetRouter, ...]:
        """Return the list."""
        return tuple(self.listed)


class Fleet:
    """Exchanges of several routers; the first ones are the largest."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self.stack = stack
        self.listed: list[FleetRouter] = []
        self.exchanges: list[LoadExchange] = []
        self.kernels: list[Kernel] = []

    async def add(self, count: int) -> None:
        """Start routers that each have one request at the server."""
        for number in range(count):
            await self.add_one(number, capacity=float(count - number))

    async def add_one(self, number: int, capacity: float) -> None:
        """Start one router."""
        kernel = Kernel()
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        settings = NodeSettings(
            vm=VmId(f'vm-{number}'),
            data_centre=data_centre,
            listen=ListenSettings(
                callers='127.0.0.1:0',
                readiness='127.0.0.1:0',
                metrics='127.0.0.1:0',
                peers='127.0.0.1:0',
            ),
            store=StoreSettings(address='127.0.0.1:9'),
            bounds=BoundSettings(),
            machine=MachineSettings(processor_share=capacity),
        )
        kernel.register(ListedCensus(self.listed))
        exchange = LoadExchange(kernel, settings)
        kernel.register(exchange)
        await kernel.start()
        self.stack.push_async_callback(kernel.stop)
        load = ServiceLoad(unread={SERVER: 100}, running={SERVER: 1})
        exchange.own_loads = lambda: {SERVICE: load}
        assert exchange.transport is not None
        host, port = exchange.transport.get_extra_info('sockname')
        self.listed.append(
            FleetRouter(settings.vm, data_centre, f'{host}:{port}', capacity),
        )
        self.exchanges.append(exchange)
        self.kernels.append(kernel)

    def seen(self) -> list[float]:
        """Return what each running router sees of the others."""
        return [
            exchange.elsewhere(
                SERVICE,
                exchange.kernel.clock.monotonic(),
            ).running.get(SERVER, 0)
            for exchange in self.exchanges
        ]

    async def all_see(self, running: float) -> None:
        """Wait until each router sees so many requests of the others."""
        async with asyncio.timeout(WAIT_SECONDS):
            while set(self.seen()) != {running}:
                await asyncio.sleep(0.02)


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """A fleet without routers."""
    async with AsyncExitStack() as stack:
        yield Fleet(stack)


async def test_small_fleet_tells_directly(fleet: Fleet) -> None:
    """Guards against routers that fill the same server."""
    await fleet.add(4)
    await fleet.all_see(3)


async def test_large_fleet_sees_all_of_its_load(fleet: Fleet) -> None:
    """Guards against sums that miss or double a part of the fleet."""
    count = LARGEST_DIRECT_FLEET + 5
    await fleet.add(count)
    await fleet.all_see(count - 1)


async def test_lost_collector_is_replaced(fleet: Fleet) -> None:
    """Guards against a fleet that depends on one machine."""
    count = LARGEST_DIRECT_FLEET + 5
    await fleet.add(count)
    await fleet.all_see(count - 1)
    # The largest router of the first data centre; its record stays.
    await fleet.kernels[0].stop()
    fleet.exchanges.pop(0)
    await fleet.all_see(count - 2)


async def test_foreign_datagram_changes_nothing(fleet: Fleet) -> None:
    """Guards against a router that any sender can stop."""
    await fleet.add(2)
    await fleet.all_see(1)
    for content in (b'', b'\xff', b'\xa1\x61a\x01', b'\x9f' * 40):
        fleet.exchanges[0].datagram_received(content, ('127.0.0.1', 9))
    await fleet.all_see(1)
