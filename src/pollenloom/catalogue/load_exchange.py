"""Tells other routers of the own load by datagrams, ten times a second."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import ClassVar, Final, cast

import msgspec
from absl import logging

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
from pollenloom.core.ids import DataCentreId, ServiceId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.collector_choice import CollectorChoice
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.routing.load_table import REPORT_SECONDS, LoadTable
from pollenloom.routing.router_load_report import RouterLoadReport
from pollenloom.routing.service_load import ServiceLoad
from pollenloom.settings.node_settings import NodeSettings

TELL_SECONDS: Final = 0.1
# Up to this size each router tells all others; in larger fleets the
# datagrams of all pairs would grow with the square of the size.
LARGEST_DIRECT_FLEET: Final = 9
# Own reports that a sum may still hold: sums are at most 1.5 s old.
KEPT_REPORTS: Final = 20
# Largest content of a UDP datagram, less some space for headers.
LARGEST_DATAGRAM: Final = 60_000
# Sums change each 0.1 s, and requests come far more often.
SUM_KEPT_SECONDS: Final = 0.02

Loads = Mapping[ServiceId, ServiceLoad]
LocalLoads = Callable[[], Loads]
OnNews = Callable[[TopicUpdateMessage], None]


class LoadExchange(KernelService, asyncio.DatagramProtocol):
    """Sends and takes load reports.

    In a small fleet all routers tell each other. In a larger one they tell
    the collectors of their data centre, which add up, tell the collectors
    of the other data centres, and answer with the sum over the fleet. A lost
    datagram is replaced by the next one, so nothing is confirmed and a silent
    router holds nothing up.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.LOAD_EXCHANGE

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        self.kernel = kernel
        self.vm = settings.vm
        self.data_centre = settings.data_centre
        self.address = settings.listen.peers
        self.table = LoadTable(settings.vm)
        self.choice = CollectorChoice()
        self.local_loads: LocalLoads = dict
        self.is_first = False
        self.on_news: OnNews = ignore_news
        self.local_reports: deque[RouterLoadReport] = deque(maxlen=KEPT_REPORTS)
        # Who wants the fleet's sum, and who tells of another data centre.
        self.members: dict[Address, float] = {}
        self.collectors: dict[Address, float] = {}
        self.sums: dict[ServiceId, tuple[float, ServiceLoad]] = {}
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen and start to tell."""
        self.fleet_directory = self.kernel.find(
            KernelServiceName.FLEET_DIRECTORY,
            FleetDirectory,
        )
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=split_address(self.address),
        )
        self.kernel.spawn('load-exchange', self.run())

    async def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the socket."""
        self.transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, content: bytes, sender: Address) -> None:
        """Take a datagram; what cannot be read is logged and dropped."""
        decoded = decode_message(content)
        if decoded.is_error():
            logging.warning('load_report_rejected %s', decoded.error.detail)
            return
        now = self.kernel.clock.monotonic()
        message = decoded.ok
        if isinstance(message, RouterLoadMessage):
            report = RouterLoadReport(message.number, now, message.loads)
            self.table.receive(message.router, report)
            if message.wants_sum:
                self.members[sender] = now
            return
        if isinstance(message, TopicUpdateMessage):
            self.take_news(message, sender)
            return
        self.choice.answered(message.router)
        if isinstance(message, FleetLoadMessage):
            self.table.receive_sum(message.router, message.total, now)
        else:
            self.collectors[sender] = now
            self.table.receive_part(
                message.data_centre,
                message.router,
                message.part,
                now,
            )

    def take_news(self, message: TopicUpdateMessage, sender: Address) -> None:
        """Take records of the store, from known routers only."""
        if sender in addresses_of(self.fleet_directory.routers()):
            self.on_news(message)
            return
        logging.warning('news_rejected, unknown sender %s', sender)

    def error_received(self, error: Exception) -> None:
        """A router that is gone refuses; the census will tell."""
        logging.debug('load_report_refused %r', error)

    def elsewhere(self, service: ServiceId, now: float) -> ServiceLoad:
        """Return what all other routers have to do with a service.

        The sum is kept for a moment: requests come far more often than
        reports.
        """
        added_at, load = self.sums.get(service, (float('-inf'), ServiceLoad()))
        if now - added_at >= SUM_KEPT_SECONDS:
            load = self.table.elsewhere(
                service,
                self.fleet_directory.size(now),
                now,
                {report.number: report for report in self.local_reports},
            )
            self.sums[service] = (now, load)
        return load

    async def run(self) -> None:
        """Tell of the load again and again."""
        number = 0
        while True:
            await asyncio.sleep(TELL_SECONDS)
            number += 1
            now = self.kernel.clock.monotonic()
            report = RouterLoadReport(number, now, self.local_loads())
            self.local_reports.append(report)
            self.tell_report(report, now)
            self.tell_sums(now)

    def tell_report(self, report: RouterLoadReport, now: float) -> None:
        """Send one report to all others, or to the collectors."""
        routers = self.fleet_directory.routers()
        told = RouterLoadMessage(self.vm, report.number, dict(report.loads))
        if len(routers) <= LARGEST_DIRECT_FLEET:
            self.is_first = False
            self.send(told, addresses_of(self.others(routers)))
            return
        first, *rest = self.choice.choose(self.neighbours(routers), now)
        self.send(told, addresses_of(self.others(rest)))
        self.is_first = first.vm == self.vm
        if self.is_first:
            self.table.receive(self.vm, report)
            return
        self.choice.asked(first.vm, now)
        asking = msgspec.structs.replace(told, wants_sum=True)
        self.send(asking, (first.address,))

    def tell_sums(self, now: float) -> None:
        """Answer those who report here, if there are any."""
        self.members = without_silent(self.members, now)
        self.collectors = without_silent(self.collectors, now)
        if not self.members and not self.is_first:
            return
        part = self.table.local_part(now)
        self.send(
            DataCentreLoadMessage(self.vm, self.data_centre, part),
            self.other_collectors(now) | self.collectors.keys(),
        )
        total = self.table.fleet_sum(part)
        self.table.receive_sum(self.vm, total, now)
        self.send(FleetLoadMessage(self.vm, total), self.members)

    def other_collectors(self, now: float) -> set[Address]:
        """Return collectors of the other data centres."""
        by_data_centre: dict[DataCentreId, list[FleetRouter]] = {}
        for router in self.fleet_directory.routers():
            if router.data_centre != self.data_centre:
                by_data_centre.setdefault(router.data_centre, []).append(router)
        return {
            collector.address
            for routers in by_data_centre.values()
            for collector in self.choice.choose(routers, now)
        }

    def neighbours(
        self,
        routers: Iterable[FleetRouter],
    ) -> list[FleetRouter]:
        """Return the routers of the own data centre."""
        return [
            router
            for router in routers
            if router.data_centre == self.data_centre
        ]

    def others(self, routers: Iterable[FleetRouter]) -> list[FleetRouter]:
        """Leave this router out."""
        return [router for router in routers if router.vm != self.vm]

    def send(self, message: LoadMessage, addresses: Iterable[Address]) -> None:
        """Send one message to some routers."""
        content = encode_message(message)
        if len(content) > LARGEST_DATAGRAM:
            logging.warning('load_report_too_large %d bytes', len(content))
            return
        if self.transport is None:
            return
        for address in addresses:
            self.transport.sendto(content, address)


def ignore_news(_message: TopicUpdateMessage) -> None:
    """Do nothing until somebody wants to hear of the store."""


def addresses_of(routers: Iterable[FleetRouter]) -> list[Address]:
    """Return where routers hear of load."""
    return [router.address for router in routers]


def without_silent(
    heard: dict[Address, float],
    now: float,
) -> dict[Address, float]:
    """Leave out senders that have been silent."""
    return {
        address: heard_at
        for address, heard_at in heard.items()
        if heard_at >= now - REPORT_SECONDS
    }
