"""Exchange of load reports between routers, by datagrams."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, ClassVar, Final, cast

import msgspec
from absl import logging

from pollenloom.catalogue.duty_messages import (
    DutyNoticesMessage,
    WindowCountsMessage,
    WindowReceiptMessage,
)
from pollenloom.catalogue.fact_message import FactsMessage
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_message import (
    DataCentreLoadMessage,
    FleetLoadMessage,
    LoadMessage,
    RouterLoadMessage,
    TopicUpdateMessage,
    decode_message,
    encode_message,
)
from pollenloom.core.host_port import Address, split_address
from pollenloom.core.ids import ServiceId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.collector_choice import CollectorChoice
from pollenloom.routing.fleet_clock import FleetClock
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.routing.load_table import MAX_REPORT_AGE_SECONDS, LoadTable
from pollenloom.routing.router_load_report import RouterLoadReport
from pollenloom.routing.service_load import ServiceLoad, add_loads
from pollenloom.settings.node_settings import NodeSettings

REPORT_INTERVAL_SECONDS: Final = 0.1
# Up to this number of routers each one reports to all others; in larger
# fleets the number of datagrams would grow with the square of the size.
LARGEST_DIRECT_FLEET: Final = 9
# Latest reports of this router that are kept, to subtract them from sums. Sums
# are at most 1.5 s old.
KEPT_REPORTS: Final = 20
# Largest content of a UDP datagram, less some space for headers.
LARGEST_DATAGRAM_BYTES: Final = 60_000
# The load of other routers is cached for this time: reports come every 0.1 s,
# and requests far more often.
REMOTE_LOAD_CACHE_SECONDS: Final = 0.02

Loads = Mapping[ServiceId, ServiceLoad]
LocalLoads = Callable[[], Loads]
RelayedMessage = (
    TopicUpdateMessage
    | FactsMessage
    | DutyNoticesMessage
    | WindowCountsMessage
    | WindowReceiptMessage
)
# The argument has the type under which the handler is registered.
RelayHandler = Callable[[Any], None]


class LoadExchange(KernelService, asyncio.DatagramProtocol):
    """Sends and receives load reports.

    In a small fleet each router reports to all others. In a larger one it
    reports to the collectors of its data centre, which add up the reports,
    send the sum to the collectors of the other data centres, and reply with
    the sum over the fleet. The next datagram replaces a lost one, so datagrams
    are not confirmed, and an unresponsive router does not delay others.

    Attributes:
        fleet_clock: Time that the routers have in common.
        local_loads: Returns the load of this router, by service.
        is_first_collector: Whether this router is the preferred collector of
            its data centre.
        relay_handlers: Called with messages that routers pass on, by type.
        local_reports: Latest reports of this router.
        members: Routers that use this one as their collector, with the time
            of their latest report, monotonic seconds.
        remote_collectors: Collectors of other data centres that send sums
            here, with the time of the latest one, monotonic seconds.
        remote_loads: Cached load of other routers with the time when it was
            added up, monotonic seconds.
        transport: Socket; None while the service is not started.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.LOAD_EXCHANGE

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        self.kernel = kernel
        self.vm = settings.vm
        self.settings = settings
        self.table = LoadTable(settings.vm)
        self.collector_choice = CollectorChoice()
        self.fleet_clock = FleetClock()
        self.local_loads: LocalLoads = dict
        self.is_first_collector = False
        self.relay_handlers: dict[type, RelayHandler] = {}
        self.local_reports: deque[RouterLoadReport] = deque(maxlen=KEPT_REPORTS)
        self.members: dict[Address, float] = {}
        self.remote_collectors: dict[Address, float] = {}
        self.remote_loads: dict[ServiceId, tuple[float, ServiceLoad]] = {}
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket and start to send reports."""
        self.fleet_directory = self.kernel.find(
            KernelServiceName.FLEET_DIRECTORY,
            FleetDirectory,
        )
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=split_address(self.settings.listen.peers),
        )
        self.kernel.spawn('load-exchange', self.run())

    async def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self.transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, content: bytes, sender: Address) -> None:
        """Handle a datagram; one that cannot be decoded is only logged."""
        decoded = decode_message(content)
        if decoded.is_error():
            logging.warning('load_report_rejected %s', decoded.error.detail)
            return
        now = self.kernel.clock.monotonic()
        message = decoded.ok
        if isinstance(message, RelayedMessage):
            self.handle_relayed(message, sender)
            return
        correction = self.fleet_clock.observe(message.fleet_time, now)
        if correction:
            logging.info(
                'fleet_time_corrected by %.3f s, after %s',
                correction,
                message.router,
            )
        if isinstance(message, RouterLoadMessage):
            report = RouterLoadReport(message.number, now, message.loads)
            self.table.receive_report(message.router, report)
            self.table.hear(message.data_centre, now)
            if message.wants_sum:
                self.members[sender] = now
            return
        self.collector_choice.reply_received(message.router)
        if isinstance(message, FleetLoadMessage):
            self.table.receive_fleet_sum(message.router, message.total, now)
            self.table.hear(self.settings.data_centre, now)
            for data_centre, age in message.heard.items():
                self.table.hear(data_centre, now - max(0, age))
        else:
            self.remote_collectors[sender] = now
            self.table.hear(message.data_centre, now)
            self.table.receive_data_centre_sum(
                message.data_centre,
                message.router,
                message.part,
                now,
            )

    def handle_relayed(
        self,
        message: RelayedMessage,
        sender: Address,
    ) -> None:
        """Pass a relayed message to its handler if a router has sent it."""
        if sender in addresses_of(self.fleet_directory.routers()):
            handler = self.relay_handlers.get(type(message))
            if handler is not None:
                handler(message)
            return
        logging.warning('news_rejected, unknown sender %s', sender)

    def error_received(self, error: Exception) -> None:
        """Log a refused datagram; the fleet directory drops failed routers."""
        logging.debug('load_report_refused %r', error)

    def remote_load(self, service: ServiceId, now: float) -> ServiceLoad:
        """Return the load of a service on all other routers, cached briefly."""
        added_at, load = self.remote_loads.get(
            service,
            (float('-inf'), ServiceLoad()),
        )
        if now - added_at >= REMOTE_LOAD_CACHE_SECONDS:
            load = self.table.remote_load(
                service,
                self.fleet_directory.size(now),
                now,
                {report.number: report for report in self.local_reports},
            )
            self.remote_loads[service] = (now, load)
        return load

    def fleet_load(self, service: ServiceId, now: float) -> ServiceLoad:
        """Return the load of a service on all routers, as last reported."""
        loads = [self.remote_load(service, now)]
        if self.local_reports:
            local = self.local_reports[-1].loads.get(service)
            loads.extend(filter(None, (local,)))
        return add_loads(loads)

    async def run(self) -> None:
        """Send reports and sums periodically."""
        number = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            number += 1
            now = self.kernel.clock.monotonic()
            report = RouterLoadReport(number, now, self.local_loads())
            self.local_reports.append(report)
            self.send_report(report, now)
            self.send_sums(now)

    def send_report(self, report: RouterLoadReport, now: float) -> None:
        """Send one report to all other routers, or to the collectors."""
        routers = self.fleet_directory.routers()
        message = RouterLoadMessage(
            self.vm,
            report.number,
            dict(report.loads),
            fleet_time=self.fleet_clock.now(now),
            data_centre=self.settings.data_centre,
        )
        if len(routers) <= LARGEST_DIRECT_FLEET:
            self.is_first_collector = False
            self.send(message, addresses_of(self.without_self(routers)))
            return
        first, *rest = self.collector_choice.choose(
            self.in_local_data_centre(routers),
            now,
        )
        self.send(message, addresses_of(self.without_self(rest)))
        self.is_first_collector = first.vm == self.vm
        if self.is_first_collector:
            self.table.receive_report(self.vm, report)
            return
        self.collector_choice.request_sent(first.vm, now)
        request = msgspec.structs.replace(message, wants_sum=True)
        self.send(request, (first.address,))

    def send_sums(self, now: float) -> None:
        """Send sums to members and remote collectors if this is a collector."""
        self.members = drop_expired(self.members, now)
        self.remote_collectors = drop_expired(self.remote_collectors, now)
        if not self.members and not self.is_first_collector:
            return
        local_sum = self.table.local_sum(now)
        fleet_time = self.fleet_clock.now(now)
        self.send(
            DataCentreLoadMessage(
                self.vm, self.settings.data_centre, local_sum, fleet_time
            ),
            self.choose_remote_collectors(now) | self.remote_collectors.keys(),
        )
        total = self.table.fleet_sum(local_sum)
        self.table.receive_fleet_sum(self.vm, total, now)
        heard = self.table.heard_ages(now)
        self.send(
            FleetLoadMessage(self.vm, total, fleet_time, heard), self.members
        )

    def relay_addresses(self, now: float) -> set[Address]:
        """Return the routers to which this one passes on what it learns.

        In a large fleet the collectors pass it on to the other routers.
        """
        routers = self.fleet_directory.routers()
        if len(routers) <= LARGEST_DIRECT_FLEET:
            return set(addresses_of(self.without_self(routers)))
        collectors = self.collector_choice.choose(
            self.in_local_data_centre(routers),
            now,
        )
        addresses = set(addresses_of(self.without_self(collectors)))
        if self.members or self.is_first_collector:
            addresses |= self.choose_remote_collectors(now)
            addresses |= self.members.keys() | self.remote_collectors.keys()
        return addresses

    def choose_remote_collectors(self, now: float) -> set[Address]:
        """Return the collectors of the other data centres."""
        chosen = self.collector_choice.choose_by_data_centre(
            self.fleet_directory.routers(), now
        )
        return {
            collector.address
            for data_centre, collectors in chosen.items()
            for collector in collectors
            if data_centre != self.settings.data_centre
        }

    def in_local_data_centre(
        self,
        routers: Iterable[FleetRouter],
    ) -> list[FleetRouter]:
        """Return those routers that are in this router's data centre."""
        return [
            router
            for router in routers
            if router.data_centre == self.settings.data_centre
        ]

    def without_self(self, routers: Iterable[FleetRouter]) -> list[FleetRouter]:
        """Return the routers except for this one."""
        return [router for router in routers if router.vm != self.vm]

    def send(self, message: LoadMessage, addresses: Iterable[Address]) -> None:
        """Send one message to some routers; drop it if it is too large."""
        content = encode_message(message)
        if len(content) > LARGEST_DATAGRAM_BYTES:
            logging.warning('load_report_too_large %d bytes', len(content))
            return
        if self.transport is None:
            return
        for address in addresses:
            self.transport.sendto(content, address)


def addresses_of(routers: Iterable[FleetRouter]) -> list[Address]:
    """Return the addresses at which routers receive load reports."""
    return [router.address for router in routers]


def drop_expired(
    received_at: dict[Address, float],
    now: float,
) -> dict[Address, float]:
    """Return the senders whose latest message is recent."""
    return {
        address: latest
        for address, latest in received_at.items()
        if latest >= now - MAX_REPORT_AGE_SECONDS
    }
