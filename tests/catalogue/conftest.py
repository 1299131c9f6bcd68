"""Routers that tell each other of load and of the store, in this process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack

import pytest

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
from pollenloom_standins.worker.answers import server_entry
from tests.fakes.node_site import make_settings, open_store

SERVICE = ServiceId('answers')
SERVER = ServerId('i-1')
DATA_CENTRES = (DataCentreId('enschede'), DataCentreId('almelo'))
WAIT_SECONDS = 10


class StaticFleetDirectory(FleetDirectory):
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

    def position(self) -> FleetPosition:
        """Return a position; nothing is cold here."""
        return FleetPosition(0, len(self.listed))

    def routers(self) -> tuple[FleetRouter, ...]:
        """Return the list."""
        return tuple(self.listed)


class CatalogueFleet:
    """Routers without callers; the first ones are the largest."""

    def __init__(
        self,
        stack: AsyncExitStack,
        store: KeyedStoreService,
        store_address: str,
    ) -> None:
        self.stack = stack
        self.store = store
        self.store_address = store_address
        self.listed: list[FleetRouter] = []
        self.kernels: list[Kernel] = []

    async def add(self, count: int) -> None:
        """Start routers that each have one request at the server."""
        for number in range(count):
            await self.add_one(number, capacity=float(count - number))

    async def add_one(self, number: int, capacity: float) -> None:
        """Start one router."""
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
            StaticFleetDirectory(self.listed),
            StoreCatalogue(kernel),
            exchange,
        ):
            kernel.register(service)
        await kernel.start()
        self.stack.push_async_callback(kernel.stop)
        load = ServiceLoad(unread={SERVER: 100}, running={SERVER: 1})
        exchange.local_loads = lambda: {SERVICE: load}
        assert exchange.transport is not None
        address = exchange.transport.get_extra_info('sockname')
        self.listed.append(
            FleetRouter(
                settings.vm,
                settings.data_centre,
                address,
                capacity,
            ),
        )
        self.kernels.append(kernel)

    async def lose_first(self) -> None:
        """End the largest router without a word; its record stays."""
        await self.kernels.pop(0).stop()

    def exchange(self, kernel: Kernel) -> LoadExchange:
        """Return the exchange of a router."""
        return kernel.find(KernelServiceName.LOAD_EXCHANGE, LoadExchange)

    def catalogue(self, kernel: Kernel) -> StoreCatalogue:
        """Return the catalogue of a router."""
        return kernel.find(KernelServiceName.CATALOGUE, StoreCatalogue)

    def seen(self) -> set[float]:
        """Return what running routers see of the others at the server."""
        return {
            self.exchange(kernel)
            .elsewhere(SERVICE, kernel.clock.monotonic())
            .running.get(SERVER, 0)
            for kernel in self.kernels
        }

    async def all_see(self, running: float) -> None:
        """Wait until each router sees so many requests of the others."""
        await self.wait_for(lambda: self.seen() == {running})

    async def write_server(self, **changes: object) -> None:
        """Write the entry of a server."""
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
    """A store, and a fleet without routers."""
    async with AsyncExitStack() as stack:
        store, address = await open_store(stack)
        yield CatalogueFleet(stack, store, address)
