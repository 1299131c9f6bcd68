"""Fleet directory from the records that routers write to the store."""

from functools import partial
from typing import Final

from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.listing_kind import ListingKind
from pollenloom.catalogue.rejected_records import RejectedRecords
from pollenloom.catalogue.router_announcer import RouterAnnouncer
from pollenloom.catalogue.router_record import RouterRecord, read_router
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_follower import TopicFollower
from pollenloom.core.host_port import split_address
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.fleet_position import FleetPosition
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.settings.node_settings import NodeSettings
from pollenloom.validation.untrusted_bytes import decode_json

# Writes cost money, and a router that is counted although it has failed only
# makes the shares of the others too small.
ANNOUNCE_SECONDS: Final = 8.0
# In a large fleet these writes would be most of the calls to the store, and one
# router more or less changes little, so the interval grows with the fleet.
ANNOUNCE_SECONDS_PER_ROUTER: Final = 0.2
# Announce intervals without a new record after which a router is not counted.
EXPIRY_INTERVALS: Final = 2.5
# Reads may wait long: a late count of routers only makes shares too large or
# too small for a while.
READ_WAIT_SECONDS: Final = 8.0
# In a large fleet some router writes its record at any time. At 71 routers,
# reads of single records were most of the calls, so reads pause in between.
READ_PAUSE_SECONDS: Final = 6.0
# Age up to which relayed records are used instead of a read of the store.
MAX_AGE_SECONDS: Final = 20.0
# A store comes back from copies that are some seconds old, and may then have an
# earlier record of a router that has left.
DEPARTURE_SECONDS: Final = 60.0


class StoreFleetDirectory(FleetDirectory):
    """Routers by their records, kept during an outage of the store.

    Attributes:
        received_at: When the latest record of each router was read, monotonic
            seconds.
        known_routers: Routers with a record, and this one.
        recorded_size: Size of the fleet in the latest event.
        is_read: Whether the records were read at least once.
        left_at: When routers announced that they stop, monotonic seconds.
        rejected: Records that could not be decoded.
    """

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        self.kernel = kernel
        self.settings = settings
        self.received_at: dict[VmId, float] = {}
        self.known_routers: dict[VmId, FleetRouter] = {
            settings.vm: self.local_router
        }
        self.recorded_size = 0
        self.is_read = False
        self.left_at: dict[VmId, float] = {}
        self.rejected = RejectedRecords('census_record_rejected')

    async def start(self) -> None:
        """Start to write the record of this router and to read all records."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.store = self.kernel.find(
            KernelServiceName.KEYED_STORE,
            KeyedStore,
        )
        follower = TopicFollower(
            self.kernel,
            StoreTopic.NODES,
            self.apply_listing,
            wait_seconds=READ_WAIT_SECONDS,
            pause_seconds=READ_PAUSE_SECONDS,
            max_age_seconds=MAX_AGE_SECONDS,
        )
        self.announcer = RouterAnnouncer(
            self.store, self.local_router, self.settings.listen.peers
        )
        self.kernel.spawn(
            'census-announce',
            self.announcer.announce(lambda: self.announce_seconds),
        )
        self.kernel.spawn('census-read', follower.run())

    async def leave(self) -> None:
        """Announce that this router stops.

        A failed write is not repeated, since the record expires anyway.
        """
        self.kernel.spawn('census-leave', self.announcer.write_leaving())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the tasks."""

    @property
    def announce_seconds(self) -> float:
        """Seconds between two records of a router."""
        return max(
            ANNOUNCE_SECONDS,
            len(self.received_at) * ANNOUNCE_SECONDS_PER_ROUTER,
        )

    @property
    def expiry_seconds(self) -> float:
        """Seconds without a new record after which a router is not counted."""
        return self.announce_seconds * EXPIRY_INTERVALS

    def size(self, now: float) -> int:
        """Number of routers with a recent record; see `FleetDirectory.size`."""
        expiry = now - self.expiry_seconds
        running = sum(latest > expiry for latest in self.received_at.values())
        return max(1, running, self.size_in_outage(now))

    def size_in_outage(self, now: float) -> int:
        """Return the number of routers known before an outage, else 1.

        An outage is assumed if no router has a recent record.
        """
        newest = max(self.received_at.values(), default=now)
        if now - newest < self.expiry_seconds / 2:
            return 1
        return len(self.received_at)

    def apply_listing(
        self,
        listing: Listing,
        kind: ListingKind,
    ) -> tuple[KeyedRecord, ...]:
        """Apply records of routers; return them all.

        A store that has come back from an older copy tells nothing new about
        routers that are known or have left: those that run write again.
        """
        now = self.kernel.clock.monotonic()
        self.is_read = True
        for record in listing.records:
            vm = VmId(record.key)
            is_old = vm in self.known_routers or vm in self.left_at
            if kind is not ListingKind.RESTORED or not is_old:
                self.apply_record(vm, record.payload, now)
        if self.size(now) != self.recorded_size:
            self.recorded_size = self.size(now)
            self.events.record(
                EventName.FLEET_SIZE,
                self.settings.vm,
                routers=self.recorded_size,
                is_whole=kind.has_all_keys,
            )
        return listing.records

    def apply_record(self, vm: VmId, payload: bytes, now: float) -> None:
        """Apply one record; remove the router if it leaves or it is invalid."""
        decoded = decode_json(payload, RouterRecord).bind(
            partial(read_router, vm)
        )
        if decoded.is_error():
            self.rejected.add(vm, decoded.error.detail, now)
            self.remove(vm)
            return
        if decoded.ok is None:
            self.remove(vm)
            self.record_departure(vm, now)
            return
        self.left_at.pop(vm, None)
        self.received_at[vm] = now
        self.known_routers[vm] = decoded.ok

    def record_departure(self, vm: VmId, now: float) -> None:
        """Remember for a while that a router has left."""
        earliest = now - DEPARTURE_SECONDS
        self.left_at = {
            other: at for other, at in self.left_at.items() if at > earliest
        }
        self.left_at[vm] = now

    def remove(self, vm: VmId) -> None:
        """Remove a router; this one stays among the known routers."""
        self.received_at.pop(vm, None)
        if vm != self.settings.vm:
            self.known_routers.pop(vm, None)

    def position(self) -> FleetPosition | None:
        """Return the position by VM id; see `FleetDirectory.position`."""
        if not self.is_read:
            return None
        rank = sum(vm < self.settings.vm for vm in self.known_routers)
        return FleetPosition(rank, len(self.known_routers))

    def routers(self) -> tuple[FleetRouter, ...]:
        """Return routers with a record; see `FleetDirectory.routers`."""
        return tuple(self.known_routers.values())

    @property
    def local_router(self) -> FleetRouter:
        """This router, as its record describes it."""
        return FleetRouter(
            self.settings.vm,
            self.settings.data_centre,
            split_address(self.settings.listen.peers),
            self.settings.machine.capacity,
        )
