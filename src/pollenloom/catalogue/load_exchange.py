"""Tells other routers of the own load by datagrams, several times a second."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import ClassVar, Final, cast

import cbor2
import msgspec
from absl import logging

from pollenloom.catalogue.fleet_census import FleetCensus
from pollenloom.core.ids import ServiceId, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.load_table import LoadReport, LoadTable, ServiceLoad
from pollenloom.settings.node_settings import NodeSettings

TELL_SECONDS: Final = 0.1
# A router tells this many others at a time, whatever the size of the fleet.
FAN_OUT: Final = 8
LARGEST_DATAGRAM: Final = 16_384
# Adding up the reports of 48 routers takes 0.5 ms; reports come each 0.1 s.
SUM_SECONDS: Final = 0.02

Loads = Mapping[ServiceId, ServiceLoad]
OwnLoads = Callable[[], Loads]


class LoadMessage(msgspec.Struct, frozen=True):
    """One datagram.

    Attributes:
        router: Who sends it.
        loads: What it has to do with each service.
    """

    router: VmId
    loads: dict[ServiceId, ServiceLoad]


class LoadExchange(KernelService, asyncio.DatagramProtocol):
    """Sends and takes load reports.

    A lost datagram is replaced by the next one, so nothing is confirmed and
    a silent router holds nothing up.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.LOAD_EXCHANGE

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        self.kernel = kernel
        self.vm = settings.vm
        self.address = settings.listen.peers
        self.table = LoadTable()
        self.own_loads: OwnLoads = dict
        self.sums: dict[ServiceId, tuple[float, ServiceLoad]] = {}
        self.choose = random.Random(settings.vm)
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen and start to tell."""
        self.census = self.kernel.find(
            KernelServiceName.FLEET_CENSUS,
            FleetCensus,
        )
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, int(port)),
        )
        self.kernel.spawn('load-exchange', self.tell())

    async def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the socket."""
        self.transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, content: bytes, _sender: object) -> None:
        """Take a report; what cannot be read is logged and dropped."""
        try:
            message = msgspec.convert(cbor2.loads(content), LoadMessage)
        except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
            logging.warning('load_report_rejected %r', error)
            return
        report = LoadReport(self.kernel.clock.monotonic(), message.loads)
        self.table.hear(message.router, report)

    def error_received(self, error: Exception) -> None:
        """A router that is gone refuses; the census will tell."""
        logging.debug('load_report_refused %r', error)

    def elsewhere(self, service: ServiceId, now: float) -> ServiceLoad:
        """Return what all other routers have to do with a service.

        The sum is kept for a moment: requests come far more often than
        reports.
        """
        added_at, load = self.sums.get(service, (float('-inf'), ServiceLoad()))
        if now - added_at >= SUM_SECONDS:
            load = self.table.elsewhere(service, self.census.size(now), now)
            self.sums[service] = (now, load)
        return load

    async def tell(self) -> None:
        """Send the own load again and again."""
        while True:
            await asyncio.sleep(TELL_SECONDS)
            self.send(self.own_loads())

    def send(self, loads: Loads) -> None:
        """Send one report to some of the other routers."""
        peers = self.census.peers()
        if len(peers) > FAN_OUT:
            peers = tuple(self.choose.sample(peers, FAN_OUT))
        message = LoadMessage(self.vm, dict(loads))
        content = cbor2.dumps(msgspec.to_builtins(message))
        if self.transport is None or len(content) > LARGEST_DATAGRAM:
            return
        for peer in peers:
            host, _, port = peer.rpartition(':')
            self.transport.sendto(content, (host, int(port)))
