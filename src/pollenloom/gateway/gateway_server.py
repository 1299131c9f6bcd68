"""Listens for callers; one task for each connection."""

import asyncio
from contextlib import ExitStack
from typing import ClassVar, Final

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.frontend.drain_gate import DrainGate
from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.loop_monitor import LoopMonitor
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.relay import Relay
from pollenloom.gateway.response_writer import ResponseWriter
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.caller_limits import CallerLimits
from pollenloom.transport.listening import open_listener

BACKLOG: Final = 512
# The balancer takes a router out after two questions, one a second.
LEAVE_SECONDS: Final = 3.0
# Time for the last bytes to leave before the process ends.
FLUSH_SECONDS: Final = 0.1
# Idle connections are kept a little longer than the configuration says, so
# that a request does not cross the closing.
IDLE_MARGIN_SECONDS: Final = 1.0


class GatewayServer(KernelService):
    """The callers' address."""

    name: ClassVar[KernelServiceName] = KernelServiceName.GATEWAY

    def __init__(self, kernel: Kernel, address: str) -> None:
        self.kernel = kernel
        self.address = address
        self.gate = DrainGate()
        self.idle: set[CallerChannel] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.catalogue = self.kernel.find(
            KernelServiceName.CATALOGUE,
            Catalogue,
        )
        self.relay = self.kernel.find(KernelServiceName.DISPATCH, Relay)
        monitor = self.kernel.find(KernelServiceName.LOOP_MONITOR, LoopMonitor)
        self.detector = monitor.detector
        listener, address = open_listener(self.address, BACKLOG)
        self.address = address
        self.server = await asyncio.get_running_loop().create_server(
            lambda: CallerChannel(
                self.kernel.clock,
                self.limits,
                self.connected,
            ),
            sock=listener,
            backlog=BACKLOG,
        )
        self.gate.ready = True

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        if self.detector.is_overloaded:
            return False
        return self.gate.ready and self.catalogue.is_complete

    async def drain(self) -> None:
        """Finish what was accepted; close idle connections."""
        self.gate.ready = False
        closing = self.kernel.spawn('gateway-leave', self.close_idle())
        await self.gate.close(LEAVE_SECONDS)
        await closing
        await asyncio.sleep(FLUSH_SECONDS)

    async def close_idle(self) -> None:
        """Close connections without a request once the balancer knows."""
        await asyncio.sleep(LEAVE_SECONDS)
        for channel in tuple(self.idle):
            channel.close()

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        configuration = self.catalogue.configuration
        if configuration is None:
            return CallerLimits()
        return configuration.limits

    def connected(self, channel: CallerChannel) -> None:
        """Start the task of a connection; it ends when the caller leaves."""
        task = self.kernel.spawn('caller', self.serve(channel))
        channel.on_left = task.cancel

    async def serve(self, channel: CallerChannel) -> None:
        """Answer the requests of one connection."""
        with ExitStack() as stack:
            stack.callback(channel.close)
            stack.callback(self.idle.discard, channel)
            while await self.serve_next(channel):
                """Go on with the next request."""

    async def serve_next(self, channel: CallerChannel) -> bool:
        """Answer one request; return whether another one may come."""
        self.idle.add(channel)
        request = await channel.next_request(
            self.limits().idle_seconds + IDLE_MARGIN_SECONDS,
        )
        self.idle.discard(channel)
        if request is None:
            await self.tell_failure(channel)
            return False
        # Lets the loop read once more: a caller whose request waited here may
        # have left, and then nothing must be sent on.
        await asyncio.sleep(0)
        with self.gate:
            return await self.serve_request(channel, request)

    async def tell_failure(self, channel: CallerChannel) -> None:
        """Answer bytes that are no request."""
        if channel.failure is not None and not channel.has_left:
            writer = ResponseWriter(channel, keeps_alive=False)
            await self.relay.refuse(writer, channel.failure)

    async def serve_request(
        self,
        channel: CallerChannel,
        request: RawRequest,
    ) -> bool:
        """Answer a request, or refuse it."""
        is_calm = self.gate.ready and not self.detector.is_overloaded
        keeps_alive = request.keeps_alive and is_calm
        if self.gate.refusing:
            failure = Failure(ErrorKind.SHUTTING_DOWN, 'stopping')
        elif self.detector.is_severely_overloaded:
            failure = Failure(ErrorKind.NO_CAPACITY, 'the router is overloaded')
        else:
            return await self.relay.answer(
                channel,
                request,
                keeps_alive=keeps_alive,
            )
        writer = ResponseWriter(channel, keeps_alive=False)
        await self.relay.turn_away(writer, failure)
        return False
