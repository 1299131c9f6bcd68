"""Counts the routers that write to the store that they run."""

import asyncio
from typing import Final

import msgspec
from absl import logging

from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_follower import TopicFollower
from pollenloom.core.host_port import split_address
from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.fleet_position import FleetPosition
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.settings.node_settings import NodeSettings

# Writes cost money, and a router that is gone only makes shares too small.
ANNOUNCE_SECONDS: Final = 8.0
# In a large fleet the records of all routers would be most of the calls, and
# one router less or more changes little.
ANNOUNCE_SECONDS_PER_ROUTER: Final = 0.2
# Routers are missed after two records and a half.
EXPIRY_PERIODS: Final = 2.5
FIRST_RETRY_SECONDS: Final = 0.3
# A late count of routers only makes shares too large or small for a while.
READ_WAIT_SECONDS: Final = 8.0
# In a large fleet some router writes its record all the time; reading each
# of them made most of the calls at 71 routers.
READ_PACE_SECONDS: Final = 6.0
FRESH_SECONDS: Final = 20.0


class NodeRecord(msgspec.Struct, frozen=True):
    """What a router writes about itself.

    Attributes:
        peers: Address at which it hears of the load of others.
        data_centre: Where it runs.
        capacity: Processor power; see `FleetRouter.capacity`.
        is_leaving: Whether it stops.
    """

    peers: str
    data_centre: DataCentreId
    capacity: float
    is_leaving: bool = False


class StoreFleetDirectory(FleetDirectory):
    """Routers by their records; kept as they are while the store is away."""

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        self.kernel = kernel
        self.settings = settings
        self.heard: dict[VmId, float] = {}
        self.known: dict[VmId, FleetRouter] = {settings.vm: self.own_router}
        self.told_size = 0
        self.is_read = False

    async def start(self) -> None:
        """Announce this router and read the others."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.store = self.kernel.find(
            KernelServiceName.KEYED_STORE,
            KeyedStore,
        )
        follower = TopicFollower(
            self.kernel,
            StoreTopic.NODES,
            self.take,
            wait_seconds=READ_WAIT_SECONDS,
            pace_seconds=READ_PACE_SECONDS,
            fresh_seconds=FRESH_SECONDS,
        )
        self.kernel.spawn('census-announce', self.announce())
        self.kernel.spawn('census-read', follower.run())

    async def leave(self) -> None:
        """Tell that this router stops; others notice its silence anyway."""
        self.kernel.spawn('census-leave', self.tell_leaving())

    async def tell_leaving(self) -> None:
        """Write once that this router stops."""
        await self.write(is_leaving=True)

    async def write(self, *, is_leaving: bool) -> bool:
        """Write the own record; return whether the store took it."""
        own = self.own_router
        record = NodeRecord(
            self.settings.listen.peers,
            own.data_centre,
            own.capacity,
            is_leaving,
        )
        written = await self.store.put(
            StoreTopic.NODES,
            self.settings.vm,
            msgspec.json.encode(record),
        )
        if written.is_error():
            logging.warning('census_write_failed %s', written.error.detail)
        return written.is_ok()

    async def stop(self) -> None:
        """Nothing beside the kernel's tasks."""

    @property
    def announce_seconds(self) -> float:
        """Time between the records of a router."""
        return max(
            ANNOUNCE_SECONDS,
            len(self.heard) * ANNOUNCE_SECONDS_PER_ROUTER,
        )

    @property
    def expiry_seconds(self) -> float:
        """Time after which a router without a new record is taken as gone."""
        return self.announce_seconds * EXPIRY_PERIODS

    def size(self, now: float) -> int:
        """Routers that are taken to run; those lately heard, or itself."""
        expiry = now - self.expiry_seconds
        live = sum(heard_at > expiry for heard_at in self.heard.values())
        return max(1, live, self.kept_size(now))

    def kept_size(self, now: float) -> int:
        """Routers known before the store went away."""
        newest = max(self.heard.values(), default=now)
        if now - newest < self.expiry_seconds / 2:
            return 1
        return len(self.heard)

    def take(
        self,
        listing: Listing,
        is_whole: bool,
    ) -> tuple[KeyedRecord, ...]:
        """Note routers by their records."""
        now = self.kernel.clock.monotonic()
        self.is_read = True
        for record in listing.records:
            self.take_record(VmId(record.key), record.payload, now)
        if self.size(now) != self.told_size:
            self.told_size = self.size(now)
            self.events.record(
                EventName.FLEET_SIZE,
                self.settings.vm,
                routers=self.told_size,
                is_whole=is_whole,
            )
        return listing.records

    def take_record(self, vm: VmId, payload: bytes, now: float) -> None:
        """Note one router, or forget it if it leaves or is not readable."""
        try:
            record = msgspec.json.decode(payload, type=NodeRecord)
            address = split_address(record.peers)
        except (msgspec.DecodeError, ValueError) as error:
            logging.warning('census_record_rejected %s: %s', vm, error)
            self.forget(vm)
            return
        if record.is_leaving:
            self.forget(vm)
            return
        self.heard[vm] = now
        self.known[vm] = FleetRouter(
            vm,
            record.data_centre,
            address,
            record.capacity,
        )

    def forget(self, vm: VmId) -> None:
        """Take a router out; this one stays in its own list."""
        self.heard.pop(vm, None)
        if vm != self.settings.vm:
            self.known.pop(vm, None)

    def position(self) -> FleetPosition | None:
        """Return the position by id; see `FleetDirectory.position`."""
        if not self.is_read:
            return None
        rank = sum(vm < self.settings.vm for vm in self.known)
        return FleetPosition(rank, len(self.known))

    def routers(self) -> tuple[FleetRouter, ...]:
        """Return routers by their records; see `FleetDirectory.routers`."""
        return tuple(self.known.values())

    @property
    def own_router(self) -> FleetRouter:
        """This router as it tells the others."""
        return FleetRouter(
            self.settings.vm,
            self.settings.data_centre,
            split_address(self.settings.listen.peers),
            self.settings.machine.capacity,
        )

    async def announce(self) -> None:
        """Write the own record again and again."""
        while True:
            is_written = await self.write(is_leaving=False)
            await asyncio.sleep(
                self.announce_seconds if is_written else FIRST_RETRY_SECONDS,
            )
