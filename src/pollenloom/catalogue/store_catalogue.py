"""Follows the operators' and servers' records in the platform's store."""

import asyncio
from collections.abc import Callable
from typing import Final

from absl import logging

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.operator_change import (
    DataCentreDirective,
    NewConfiguration,
)
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_follower import TopicFollower
from pollenloom.core.ids import DataCentreId, ServerId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.routing.server_directory import ServerDirectory

# Removals that wait for the end of a lapse take effect at this pace.
SWEEP_SECONDS: Final = 0.1
# Contents that are remembered as told; then some are told again.
MOST_UNREADABLE: Final = 500


class StoreCatalogue(Catalogue):
    """Configuration and servers, one reading task for each topic."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.configuration: RoutingConfiguration | None = None
        self.directory = ServerDirectory()
        self.listeners: list[Callable[[], None]] = []
        self.read_topics: set[StoreTopic] = set()
        self.unreadable: set[tuple[str, bytes]] = set()

    async def start(self) -> None:
        """Start to read; the store need not be up."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.store = self.kernel.find(
            KernelServiceName.KEYED_STORE,
            KeyedStore,
        )
        operator = TopicFollower(
            self.kernel,
            StoreTopic.OPERATOR,
            self.take_operator_listing,
        )
        servers = TopicFollower(
            self.kernel,
            StoreTopic.SERVERS,
            self.take_server_listing,
            on_regained=self.directory.store_regained,
        )
        self.kernel.spawn('catalogue-operator', operator.run())
        self.kernel.spawn('catalogue-servers', servers.run())
        self.kernel.spawn('catalogue-sweep', self.sweep())

    async def stop(self) -> None:
        """Nothing beside the kernel's tasks."""

    @property
    def is_complete(self) -> bool:
        """Whether configuration and servers were read once."""
        is_read = StoreTopic.SERVERS in self.read_topics
        return is_read and self.configuration is not None

    def watch(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self.listeners.append(listener)

    def notify(self) -> None:
        """Tell the listeners of a change."""
        for listener in self.listeners:
            listener()

    def take_operator_listing(
        self,
        listing: Listing,
        is_whole: bool,
    ) -> tuple[KeyedRecord, ...]:
        """Apply records of the operators."""
        now = self.kernel.clock.monotonic()
        if is_whole:
            listed = self.data_centres_out(listing)
            for data_centre in tuple(self.directory.evacuated - listed):
                self.obey(
                    DataCentreDirective(data_centre, is_out=False),
                    now,
                )
        for record in listing.records:
            self.take_operator_record(record, now)
        self.read_topics.add(StoreTopic.OPERATOR)
        self.notify()
        return listing.records

    def data_centres_out(self, listing: Listing) -> set[DataCentreId]:
        """Return the data centres that a listing takes out of service."""
        changes = map(self.store.read_operator_change, listing.records)
        orders = [change.ok for change in changes if change.is_ok()]
        return {
            order.data_centre
            for order in orders
            if isinstance(order, DataCentreDirective) and order.is_out
        }

    def take_operator_record(self, record: KeyedRecord, now: float) -> None:
        """Apply one record of the operators."""
        read = self.store.read_operator_change(record)
        if read.is_error():
            self.tell_unreadable(record, read.error.detail)
            return
        change = read.ok
        if isinstance(change, NewConfiguration):
            self.use(change.configuration, record)
        elif isinstance(change, DataCentreDirective):
            self.obey(change, now)

    def obey(self, order: DataCentreDirective, now: float) -> None:
        """Take a data centre out of service or back."""
        is_known = order.data_centre in self.directory.evacuated
        if order.is_out == is_known:
            return
        if order.is_out:
            self.directory.evacuate(order.data_centre)
        else:
            self.directory.readmit(order.data_centre, now)
        self.events.record(
            EventName.DATA_CENTRE_STATE_CHANGED,
            order.data_centre,
            state='out' if order.is_out else 'in_service',
            origin='store',
        )

    def use(
        self,
        configuration: RoutingConfiguration,
        record: KeyedRecord,
    ) -> None:
        """Put a configuration in force, never an older one."""
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

    def take_server_listing(
        self,
        listing: Listing,
        is_whole: bool,
    ) -> tuple[KeyedRecord, ...]:
        """Apply entries of backend servers; return those with news."""
        now = self.kernel.clock.monotonic()
        is_first_read = StoreTopic.SERVERS not in self.read_topics
        changed = tuple(
            record
            for record in listing.records
            if self.take_server_record(
                record,
                now,
                is_first_read=is_first_read,
            )
        )
        if is_whole:
            self.directory.retain(
                (ServerId(listed.key) for listed in listing.records),
                now,
            )
        self.read_topics.add(StoreTopic.SERVERS)
        self.drop_gone(now)
        if changed or is_whole:
            self.notify()
        return changed

    def take_server_record(
        self,
        record: KeyedRecord,
        now: float,
        *,
        is_first_read: bool,
    ) -> bool:
        """Apply one entry; return whether more than its age changed.

        An unreadable one changes nothing.
        """
        server = ServerId(record.key)
        if not record.payload:
            self.directory.remove(server, now)
            self.tell_server(server, 'removed', record)
            return True
        read = self.store.read_server(record)
        if read.is_error():
            self.tell_unreadable(record, read.error.detail)
            return False
        is_changed = self.directory.upsert(
            read.ok,
            record.offset,
            now,
            wall=self.kernel.clock.wall(),
            is_first_read=is_first_read,
        )
        if is_changed:
            state = 'leaving' if read.ok.is_leaving else 'ready'
            self.tell_server(server, state, record)
        return is_changed

    def tell_server(
        self,
        server: ServerId,
        state: str,
        record: KeyedRecord,
    ) -> None:
        """Record a new state of a server."""
        self.events.record(
            EventName.SERVER_STATE,
            server,
            state=state,
            offset=record.offset,
        )

    def tell_unreadable(self, record: KeyedRecord, detail: str) -> None:
        """Log a record that cannot be used, once for each content."""
        mark = (record.key, record.payload)
        if mark in self.unreadable:
            return
        if len(self.unreadable) >= MOST_UNREADABLE:
            self.unreadable.clear()
        self.unreadable.add(mark)
        logging.warning(
            'store_record_rejected key %r offset %s: %s',
            record.key,
            record.offset,
            detail,
        )

    def drop_gone(self, now: float) -> None:
        """Forget servers whose removal took effect."""
        for server in self.directory.drop_gone(now):
            self.events.record(EventName.SERVER_STATE, server, state='gone')

    async def sweep(self) -> None:
        """Let removals take effect that wait for the end of a lapse."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.drop_gone(self.kernel.clock.monotonic())
