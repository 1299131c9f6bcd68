"""Checks whether backend servers still run."""

import asyncio
from typing import ClassVar, Final

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import DataCentreId, ServerId
from pollenloom.gateway.loss_verdict import LossVerdict
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_connection_pool import ServerConnectionPool
from pollenloom.gateway.server_event import ChannelEnd, ResponseHead
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName

# Time in which a router that can be reached is heard of: reports come every
# 0.1 s, and another collector takes over after 0.5 s.
TOUCH_WAIT_SECONDS: Final = 1.2
# A report that comes later than this after a refused connection was sent after
# it, so that the path to the data centre is not cut.
TOUCH_MARGIN_SECONDS: Final = 0.1
TOUCH_POLL_SECONDS: Final = 0.1


class ServerChecks(KernelService):
    """Tells the end of a server from other reasons for a closed connection.

    A server that has ended refuses new connections. A server that leaves as
    planned refuses them too, and so does a network whose path is cut; then
    nothing is heard of the routers in the server's data centre either.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.SERVER_CHECKS

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    async def start(self) -> None:
        """Find the services that the checks need."""
        self.connection_pool = self.kernel.find(
            KernelServiceName.SERVER_CONNECTION_POOL,
            ServerConnectionPool,
        )
        self.catalogue = self.kernel.find(
            KernelServiceName.CATALOGUE, Catalogue
        )
        self.fleet_directory = self.kernel.find(
            KernelServiceName.FLEET_DIRECTORY,
            FleetDirectory,
        )
        self.load_exchange = self.kernel.find(
            KernelServiceName.LOAD_EXCHANGE,
            LoadExchange,
        )

    async def stop(self) -> None:
        """Do nothing; checks run in the tasks of their requests."""

    async def judge(self, server: BackendServer) -> LossVerdict:
        """Return what follows from a lost connection to a server."""
        if not await self.connection_pool.is_refused(server):
            return LossVerdict.RUNNING
        if self.has_left(server.server):
            return LossVerdict.LEFT
        if await self.is_in_touch(server.data_centre):
            return LossVerdict.CRASHED
        return LossVerdict.OUT_OF_TOUCH

    async def confirm_end(
        self,
        server: BackendServer,
        channel: ServerChannel,
        head: ResponseHead,
        end: ChannelEnd,
    ) -> ChannelEnd:
        """Return how a response ended, which its server may have broken off.

        The end of a server closes its connections like the end of a response
        that does not mark its own, so such a response is complete only if the
        server is seen to run and no reset has followed the close. A server that
        leaves as planned completes its responses before.

        Args:
            server: Server that sent the response.
            channel: Connection of the response.
            head: Head of the response.
            end: How the connection ended the response.
        """
        if head.is_framed or end is not ChannelEnd.COMPLETE:
            return end
        is_running = await self.connection_pool.keeps_connection(server)
        if channel.was_reset():
            return ChannelEnd.RESET
        if is_running or self.has_left(server.server):
            return end
        return ChannelEnd.SERVER_LOST

    def has_left(self, server: ServerId) -> bool:
        """Whether a server leaves as planned, or is not registered."""
        known = self.catalogue.directory.servers.get(server)
        return (
            known is None
            or known.entry.is_leaving
            or known.has_said_leaving
            or known.removed_at is not None
        )

    async def is_in_touch(self, data_centre: DataCentreId) -> bool:
        """Whether routers in a data centre are heard of from now on.

        True where this router is the only one there.
        """
        clock = self.kernel.clock
        refused_at = clock.monotonic()
        others = any(
            router.data_centre == data_centre
            and router.vm != self.load_exchange.vm
            for router in self.fleet_directory.routers()
        )
        while others and clock.monotonic() < refused_at + TOUCH_WAIT_SECONDS:
            heard_at = self.load_exchange.table.heard_at.get(data_centre, 0)
            if heard_at > refused_at + TOUCH_MARGIN_SECONDS:
                return True
            await asyncio.sleep(TOUCH_POLL_SECONDS)
        return not others
