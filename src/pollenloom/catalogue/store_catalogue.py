"""Catalogue that reads the records of operators and servers in the store."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.listing_kind import ListingKind
from pollenloom.catalogue.operator_change import (
    DataCentreDirective,
    MoveOrder,
    NewConfiguration,
)
from pollenloom.catalogue.operator_records import (
    HOLD_SECONDS,
    OperatorRecords,
)
from pollenloom.catalogue.rejected_records import RejectedRecords
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_follower import TopicFollower
from pollenloom.core.ids import Offset, ServerId, ServiceId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.routing.server_directory import KnownServer, ServerDirectory
from pollenloom.routing.store_position import StorePosition

# Interval of checks for removals that take effect later.
SWEEP_SECONDS: Final = 0.1


class StoreCatalogue(Catalogue):
    """Configuration and servers, with one reading task for each topic.

    Attributes:
        listeners: Called after each change.
        read_topics: Topics that were read at least once.
        operator_records: Decides which records of the operators are applied.
        rejected: Records that could not be decoded.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.configuration: RoutingConfiguration | None = None
        self.directory = ServerDirectory()
        self.move_orders: dict[ServiceId, MoveOrder] = {}
        self.listeners: list[Callable[[], None]] = []
        self.read_topics: set[StoreTopic] = set()
        self.operator_records = OperatorRecords()
        self.rejected = RejectedRecords('store_record_rejected')

    async def start(self) -> None:
        """Start to read; the store may be unavailable."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.store = self.kernel.find(
            KernelServiceName.KEYED_STORE,
            KeyedStore,
        )
        operator = TopicFollower(
            self.kernel,
            StoreTopic.OPERATOR,
            self.apply_operator_listing,
        )
        servers = TopicFollower(
            self.kernel,
            StoreTopic.SERVERS,
            self.apply_server_listing,
            on_recovered=self.directory.store_recovered,
        )
        self.kernel.spawn('catalogue-operator', operator.run())
        self.kernel.spawn('catalogue-servers', servers.run())
        self.kernel.spawn('catalogue-sweep', self.sweep())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the tasks."""

    @property
    def is_complete(self) -> bool:
        """Whether configuration and servers were both read at least once."""
        is_read = StoreTopic.SERVERS in self.read_topics
        return is_read and self.configuration is not None

    def watch(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self.listeners.append(listener)

    def notify(self) -> None:
        """Call the listeners after a change."""
        for listener in self.listeners:
            listener()

    def apply_operator_listing(
        self,
        listing: Listing,
        kind: ListingKind,
    ) -> tuple[KeyedRecord, ...]:
        """Apply records of the operators; return them all.

        A full listing also returns those data centres to service that it does
        not take out of service, and withdraws the moves that it does not
        order; see `OperatorRecords` for a store that has lost them.
        """
        now = self.kernel.clock.monotonic()
        for record in self.operator_records.select(listing, kind, now):
            self.apply_operator_record(record, now)
        if kind is ListingKind.RESTORED:
            for key, held in self.operator_records.held.items():
                self.events.record(
                    EventName.RECORD_HELD,
                    key,
                    offset=held.record.offset,
                    is_lost=not held.record.payload,
                    seconds=HOLD_SECONDS,
                )
        self.read_topics.add(StoreTopic.OPERATOR)
        self.notify()
        return listing.records

    def apply_expired_records(self, now: float) -> None:
        """Apply what an older copy says and nobody has written again."""
        expired = self.operator_records.take_expired(self.store.era, now)
        for record in expired:
            self.events.record(
                EventName.RECORD_HOLD_ENDED, record.key, offset=record.offset
            )
            self.apply_operator_record(record, now)
        if expired:
            self.notify()

    def apply_operator_record(self, record: KeyedRecord, now: float) -> None:
        """Apply one record of the operators; log one that cannot be decoded."""
        decoded = self.store.read_operator_change(record)
        if decoded.is_error():
            self.rejected.add(record.key, decoded.error.detail, now)
            return
        change = decoded.ok
        if isinstance(change, NewConfiguration):
            self.apply_configuration(change.configuration, record)
        elif isinstance(change, DataCentreDirective):
            self.apply_directive(change, now)
        elif isinstance(change, MoveOrder):
            order = replace(change, era=self.store.era)
            update_orders(self.move_orders, order)

    def apply_directive(
        self, directive: DataCentreDirective, now: float
    ) -> None:
        """Take a data centre out of service, or return it to service."""
        is_evacuated = directive.data_centre in self.directory.evacuated
        if directive.is_out == is_evacuated:
            return
        if directive.is_out:
            self.directory.evacuate(directive.data_centre)
        else:
            self.directory.readmit(directive.data_centre, now)
        self.events.record(
            EventName.DATA_CENTRE_STATE_CHANGED,
            directive.data_centre,
            state='out' if directive.is_out else 'in_service',
            origin='store',
        )

    def apply_configuration(
        self,
        configuration: RoutingConfiguration,
        record: KeyedRecord,
    ) -> None:
        """Put a configuration in force if it is newer than the current one."""
        current = self.configuration
        if current and configuration.revision <= current.revision:
            return
        self.configuration = configuration
        self.directory.configure(configuration.services)
        self.events.record(
            EventName.CONFIGURATION_IN_FORCE,
            str(record.offset),
            revision=configuration.revision,
            publisher='operator',
        )

    def apply_server_listing(
        self,
        listing: Listing,
        kind: ListingKind,
    ) -> tuple[KeyedRecord, ...]:
        """Apply entries of backend servers; return those with a change."""
        now = self.kernel.clock.monotonic()
        is_first_read = StoreTopic.SERVERS not in self.read_topics
        changed = tuple(
            record
            for record in listing.records
            if self.apply_server_record(
                record,
                StorePosition(listing.era, record.offset),
                kind,
                is_first_read=is_first_read,
            )
        )
        if kind.has_all_keys:
            self.directory.retain(
                (ServerId(record.key) for record in listing.records),
                now,
            )
        self.read_topics.add(StoreTopic.SERVERS)
        self.drop_removed(now)
        if changed or kind.has_all_keys:
            self.notify()
        return changed

    def apply_server_record(
        self,
        record: KeyedRecord,
        position: StorePosition,
        kind: ListingKind,
        *,
        is_first_read: bool,
    ) -> bool:
        """Apply one entry; return whether it changed the state of the server.

        An entry that cannot be decoded is logged and changes nothing.
        """
        now = self.kernel.clock.monotonic()
        server = ServerId(record.key)
        if not record.payload:
            self.directory.remove(server, now)
            self.record_server_state(server, 'removed', record.offset)
            return True
        decoded = self.store.read_server(record)
        if decoded.is_error():
            self.rejected.add(record.key, decoded.error.detail, now)
            return False
        if kind.has_all_keys and self.directory.is_outdated(
            decoded.ok, position
        ):
            self.record_server_state(server, 'outdated', record.offset)
            return False
        is_changed = self.directory.upsert(
            decoded.ok,
            position,
            now,
            wall=self.kernel.clock.wall(),
            is_first_read=is_first_read,
        )
        if is_changed:
            state = 'leaving' if decoded.ok.is_leaving else 'ready'
            self.record_server_state(server, state, record.offset)
        return is_changed

    def record_server_state(
        self,
        server: ServerId,
        state: str,
        offset: Offset,
    ) -> None:
        """Record a new state of a server in the event log."""
        self.events.record(
            EventName.SERVER_STATE,
            server,
            state=state,
            offset=offset,
        )

    def server_says_leaving(self, known: KnownServer) -> None:
        """Stop sending to a leaving server; see `Catalogue`."""
        if known.has_said_leaving:
            return
        known.has_said_leaving = True
        self.record_server_state(
            known.entry.server, 'says_leaving', known.version.offset
        )
        self.notify()

    def drop_removed(self, now: float) -> None:
        """Drop servers whose removal took effect."""
        for server in self.directory.drop_removed(now):
            self.events.record(EventName.SERVER_STATE, server, state='gone')

    async def sweep(self) -> None:
        """Apply periodically what takes effect later."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self.kernel.clock.monotonic()
            self.drop_removed(now)
            self.apply_expired_records(now)


def update_orders(orders: dict[ServiceId, MoveOrder], order: MoveOrder) -> None:
    """Store the order of a version move, or remove a withdrawn one."""
    if order.to_version is None:
        orders.pop(order.service, None)
    else:
        orders[order.service] = order
