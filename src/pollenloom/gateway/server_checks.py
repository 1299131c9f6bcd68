"""Checks whether backend servers still run."""

import asyncio
from collections.abc import Generator
from contextlib import ExitStack, contextmanager
from typing import ClassVar, Final

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import DataCentreId, ServerId
from pollenloom.gateway.connection_state import was_reset
from pollenloom.gateway.liveness_connections import LivenessConnections
from pollenloom.gateway.loop_monitor import LoopMonitor
from pollenloom.gateway.loss_verdict import LossVerdict
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.response_end import (
    EndEvidence,
    EndVerdict,
    NewConnection,
)
from pollenloom.gateway.response_watch import ResponseWatch
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_connection_pool import (
    DROP_SECONDS,
    ServerConnectionPool,
)
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
# Servers report every 1.2 s, and reports take some time to arrive. One that
# comes sooner than the margin may have been sent before the response ended.
# Callers give up a stream after a gap of two seconds.
REPORT_WAIT_SECONDS: Final = 1.8
REPORT_MARGIN_SECONDS: Final = 0.5
REPORT_POLL_SECONDS: Final = 0.05
# Time in which a retry is refused and a failure reaches the caller.
REPLY_SECONDS: Final = 0.25
# Time in which a router reads the ends of connections after a pause.
PAUSE_MARGIN_SECONDS: Final = 0.5


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
        self.liveness_connections = self.kernel.find(
            KernelServiceName.LIVENESS_CONNECTIONS,
            LivenessConnections,
        )
        self.loop_monitor = self.kernel.find(
            KernelServiceName.LOOP_MONITOR, LoopMonitor
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
        new_connection = await self.connection_pool.probe(server)
        if new_connection is not NewConnection.REFUSED:
            return LossVerdict.RUNNING
        if self.has_left(server.server):
            return LossVerdict.LEFT
        if await self.is_in_touch(server.data_centre):
            return LossVerdict.CRASHED
        return LossVerdict.OUT_OF_TOUCH

    @contextmanager
    def watch(
        self,
        call: PendingCall,
        server: BackendServer,
        channel: ServerChannel,
        head: ResponseHead,
    ) -> Generator[ResponseWatch, None, None]:
        """Watch the server of a response until the response has ended."""
        known = self.catalogue.directory.servers.get(server.server)
        watch = ResponseWatch(
            call,
            server,
            channel,
            head.is_framed,
            None if known is None else known.entry.started_at,
        )
        with ExitStack() as stack:
            if not head.is_framed:
                stack.enter_context(self.liveness_connections.held(server))
            yield watch

    async def confirm_end(
        self, watch: ResponseWatch, end: ChannelEnd
    ) -> ChannelEnd:
        """Return how a response ended, which its server may have broken off.

        The end of a server closes its connections like the end of a response
        that does not mark its own; `EndEvidence` tells the two apart, and its
        values become a part of the request's log line.

        Args:
            watch: The response and its server.
            end: How the connection ended the response.
        """
        if watch.is_framed or end is not ChannelEnd.COMPLETE:
            return end
        ended_at = self.kernel.clock.monotonic()
        evidence = await self.collect_evidence(watch, ended_at)
        verdict = evidence.evaluate()
        if verdict is EndVerdict.UNKNOWN and not self.may_retry(watch):
            verdict = await self.wait_for_report(watch, ended_at)
        if watch.call.trace is not None:
            watch.call.trace.end_evidence = evidence
            watch.call.trace.end_verdict = verdict
        if was_reset(watch.channel.transport):
            return ChannelEnd.RESET
        if verdict is EndVerdict.WHOLE:
            return end
        return ChannelEnd.SERVER_LOST

    async def collect_evidence(
        self, watch: ResponseWatch, ended_at: float
    ) -> EndEvidence:
        """Return what shows whether the server of a response still runs.

        `ended_at` is when the response ended, monotonic seconds.
        """
        clock = self.kernel.clock
        open_connections = self.connection_pool.open_connections
        server = watch.server.server
        beside = open_connections.beside(server, watch.channel, ended_at)
        new_connection = await self.connection_pool.probe(watch.server)
        # A refusal comes at once, maybe before the other connections are seen
        # to be closed.
        await asyncio.sleep(max(0, ended_at + DROP_SECONDS - clock.monotonic()))
        return EndEvidence(
            new_connection,
            open_connections.judge(server, beside, ended_at),
            is_leaving=self.has_announced_end(server),
            has_paused=self.loop_monitor.has_paused_since(
                ended_at - PAUSE_MARGIN_SECONDS
            ),
        )

    async def wait_for_report(
        self, watch: ResponseWatch, ended_at: float
    ) -> EndVerdict:
        """Wait until a server reports that it runs since before its response.

        Its entry in the store names the start of its process, and has a number
        that rises with each report. The wait ends in time for a failure to
        reach the caller.
        """
        if not watch.started_at:
            return EndVerdict.UNKNOWN
        clock = self.kernel.clock
        latest = min(
            ended_at + REPORT_WAIT_SECONDS,
            watch.call.deadline - REPLY_SECONDS,
        )
        earliest = min(ended_at + REPORT_MARGIN_SECONDS, latest)
        await asyncio.sleep(max(0, earliest - clock.monotonic()))
        before = self.catalogue.directory.servers.get(watch.server.server)
        while clock.monotonic() < latest:
            known = self.catalogue.directory.servers.get(watch.server.server)
            if before is None or known is None:
                return EndVerdict.UNKNOWN
            if known.entry.started_at != watch.started_at:
                return EndVerdict.BROKEN_OFF
            if known.entry.is_later_than(before.entry):
                return EndVerdict.WHOLE
            remaining = latest - clock.monotonic()
            await asyncio.sleep(max(0, min(remaining, REPORT_POLL_SECONDS)))
        return EndVerdict.UNKNOWN

    def may_retry(self, watch: ResponseWatch) -> bool:
        """Whether another server can complete the request of a response."""
        now = self.kernel.clock.monotonic()
        if not watch.call.may_retry(now):
            return False
        usable = self.catalogue.directory.usable(watch.server.service, now)
        return any(
            known.entry.server != watch.server.server for known in usable
        )

    def has_announced_end(self, server: ServerId) -> bool:
        """Whether a server leaves by its entry, or is not registered.

        It goes on serving for a while after that. A server that has only said
        in a response that it leaves may not, as nothing shows since when.
        """
        known = self.catalogue.directory.servers.get(server)
        return (
            known is None
            or known.entry.is_leaving
            or known.removed_at is not None
        )

    def has_left(self, server: ServerId) -> bool:
        """Whether a server leaves as planned, or is not registered."""
        known = self.catalogue.directory.servers.get(server)
        has_said_leaving = known is not None and known.has_said_leaving
        return has_said_leaving or self.has_announced_end(server)

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
