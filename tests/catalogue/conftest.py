"""Fixtures of the catalogue tests: routers that run in this process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack

import pytest

from pollenloom.catalogue.fact_exchange import FactExchange
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.catalogue.store_catalogue import StoreCatalogue
from pollenloom.catalogue.topic_relay import TopicRelay
from pollenloom.core.ids import DataCentreId, ServerId, ServiceId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.platform.store_client import StoreClient
from pollenloom.routing.fleet_position import FleetPosition
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.routing.service_load import ServiceLoad
from pollenloom_standins.keyed_store.keyed_store_service import (
    KeyedStoreService,
)
from pollenloom_standins.worker.responses import server_entry
from tests.fakes.router_fixtures import make_settings, open_store

SERVICE = ServiceId('answers')
SERVER = ServerId('i-1')
DATA_CENTRES = (DataCentreId('enschede'), DataCentreId('almelo'))
WAIT_SECONDS = 10


class StaticFleetDirectory(FleetDirectory):
    """Fleet directory whose routers the test sets."""

    def __init__(self, fleet_routers: list[FleetRouter]) -> None:
        self.fleet_routers = fleet_routers

    async def start(self) -> None:
        """Do nothing; the list is given."""

    async def stop(self) -> None:
        """Do nothing; there are no tasks."""

    def size(self, _now: float) -> int:
        """Return the length of the list."""
        return len(self.fleet_routers)

    def position(self) -> FleetPosition:
        """Return the same position for all routers; no server is cold here."""
        return FleetPosition(0, len(self.fleet_routers))

    def routers(self) -> tuple[FleetRouter, ...]:
        """Return the list."""
        return tuple(self.fleet_routers)


class CatalogueFleet:
    """Routers without callers; earlier ones have more capacity.

    Attributes:
        stack: Stops the routers at the end of the test.
        store: Store that all routers read.
        store_address: Its address, `host:port`.
        fleet_routers: Contents of all fleet directories.
        kernels: Kernels of the running routers.
    """

    def __init__(
        self,
        stack: AsyncExitStack,
        store: KeyedStoreService,
        store_address: str,
    ) -> None:
        self.stack = stack
        self.store = store
        self.store_address = store_address
        self.fleet_routers: list[FleetRouter] = []
        self.kernels: list[Kernel] = []

    async def add(self, count: int) -> None:
        """Start routers that each report one running request at the server."""
        for number in range(count):
            await self.add_one(number, capacity=float(count - number))

    async def add_one(self, number: int, capacity: float) -> None:
        """Start one router and add it to all fleet directories."""
        kernel = Kernel()
        settings = make_settings(
            f'vm-{number}',
            DATA_CENTRES[number % len(DATA_CENTRES)],
            self.store_address,
            capacity,
        )
        exchange = LoadExchange(kernel, settings)
        for service in (
            EventLog(kernel.clock, 0),
            StoreClient.from_config(settings.store),
            TopicRelay(kernel, settings.vm),
            StaticFleetDirectory(self.fleet_routers),
            StoreCatalogue(kernel),
            exchange,
            FactExchange(kernel, settings.vm),
        ):
            kernel.register(service)
        await kernel.start()
        self.stack.push_async_callback(kernel.stop)
        load = ServiceLoad(unread={SERVER: 100}, running={SERVER: 1})
        exchange.local_loads = lambda: {SERVICE: load}
        assert exchange.transport is not None
        address = exchange.transport.get_extra_info('sockname')
        self.fleet_routers.append(
            FleetRouter(
                settings.vm,
                settings.data_centre,
                address,
                capacity,
            ),
        )
        self.kernels.append(kernel)

    async def stop_first(self) -> None:
        """Stop the largest router without notice; its record stays."""
        await self.kernels.pop(0).stop()

    def exchange(self, kernel: Kernel) -> LoadExchange:
        """Return the load exchange of a router."""
        return kernel.find(KernelServiceName.LOAD_EXCHANGE, LoadExchange)

    def catalogue(self, kernel: Kernel) -> StoreCatalogue:
        """Return the catalogue of a router."""
        return kernel.find(KernelServiceName.CATALOGUE, StoreCatalogue)

    def observed_running(self) -> set[float]:
        """Return the counts of remote requests that the routers observe."""
        return {
            self.exchange(kernel)
            .remote_load(SERVICE, kernel.clock.monotonic())
            .running.get(SERVER, 0)
            for kernel in self.kernels
        }

    async def wait_until_all_observe(self, running: float) -> None:
        """Wait until each router observes this many requests of the others."""
        await self.wait_for(lambda: self.observed_running() == {running})

    async def write_server(self, **changes: object) -> None:
        """Write the entry of the server to the store."""
        payload = server_entry('127.0.0.1:9', service=SERVICE, **changes)
        await self.store.write('keyed.servers', SERVER, payload)

    async def wait_for(
        self,
        is_reached: Callable[[], bool],
        seconds: float = WAIT_SECONDS,
    ) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(seconds):
            while not is_reached():
                await asyncio.sleep(0.02)


@pytest.fixture
async def fleet() -> AsyncIterator[CatalogueFleet]:
    """A fleet without routers yet, with a running store."""
    async with AsyncExitStack() as stack:
        store, address = await open_store(stack)
        yield CatalogueFleet(stack, store, address)
