"""HTTP server for callers, with one task for each connection."""

import asyncio
import socket
from contextlib import ExitStack
from typing import ClassVar, Final

from absl import logging

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.frontend.drain_barrier import DrainBarrier
from pollenloom.frontend.stop_limits import stopping_failure
from pollenloom.frontend.stop_plan import StopPlan
from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.caller_connections import CallerConnections
from pollenloom.gateway.caller_memory import CallerMemory
from pollenloom.gateway.loop_monitor import LoopMonitor
from pollenloom.gateway.memory_plan import MemoryPlan
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.refusal_log import RefusalCause, RefusalLog
from pollenloom.gateway.relay import Relay
from pollenloom.gateway.response_writer import ResponseWriter
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.observability.metrics import Metrics
from pollenloom.routing.caller_limits import CallerLimits
from pollenloom.settings.settings_holder import SettingsHolder
from pollenloom.transport.connection_acceptor import ConnectionAcceptor
from pollenloom.transport.listening import open_listener

BACKLOG: Final = 512
# The load balancer removes a router after two failed readiness probes, which it
# sends once a second.
BALANCER_REMOVAL_SECONDS: Final = 3.0
# Time to flush the last bytes before the process ends.
FLUSH_SECONDS: Final = 0.1
# Idle connections are kept slightly longer than configured, so that a request
# sent within the limit does not arrive on a connection that is being closed.
IDLE_MARGIN_SECONDS: Final = 1.0
RECORD_INTERVAL_SECONDS: Final = 1.0
# A caller that is refused by a busy router may try another one at once.
BUSY_RETRY_SECONDS: Final = 0.05
# Largest delay of the event loop in a second that is not worth a record.
RECORDED_DELAY_SECONDS: Final = 0.02


class GatewayServer(KernelService):
    """Accepts the connections of callers.

    Attributes:
        connections: Connections of callers; set by `start`.
        memory: Memory that is held for callers; set by `start`.
        refusals: Callers that were refused before their request was evaluated;
            set by `start`.
        turn_ended: Set while requests may begin in a new iteration of the
            event loop.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.GATEWAY

    def __init__(self, kernel: Kernel, address: str) -> None:
        self.kernel = kernel
        self.address = address
        self.drain_barrier = DrainBarrier()
        self.acceptor: ConnectionAcceptor | None = None
        self.turn_ended = asyncio.Event()

    async def start(self) -> None:
        """Listen for callers and report readiness."""
        self.catalogue = self.kernel.find(
            KernelServiceName.CATALOGUE,
            Catalogue,
        )
        self.relay = self.kernel.find(KernelServiceName.DISPATCH, Relay)
        monitor = self.kernel.find(KernelServiceName.LOOP_MONITOR, LoopMonitor)
        self.detector = monitor.detector
        self.intake = monitor.intake
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        settings = self.kernel.find(KernelServiceName.SETTINGS, SettingsHolder)
        plan = MemoryPlan.from_config(settings.current.machine)
        self.memory = CallerMemory(plan.request_bytes, self.limits)
        self.connections = CallerConnections(plan.connections)
        self.refusals = RefusalLog(
            self.events,
            self.kernel.find(KernelServiceName.METRICS, Metrics),
            self.memory,
            self.connections,
        )
        listener, address = open_listener(self.address, BACKLOG)
        self.address = address
        self.acceptor = ConnectionAcceptor(listener, self.on_connection)
        self.acceptor.start()
        self.kernel.spawn(
            'gateway-record', self.record_delays(monitor, self.acceptor)
        )
        self.drain_barrier.ready = True

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections."""
        if not self.drain_barrier.ready or self.detector.is_overloaded:
            return False
        return self.catalogue.is_complete

    async def record_delays(
        self,
        monitor: LoopMonitor,
        acceptor: ConnectionAcceptor,
    ) -> None:
        """Record the seconds in which the event loop was late, and its load."""
        while True:
            await asyncio.sleep(RECORD_INTERVAL_SECONDS)
            self.refusals.record()
            largest_delay = monitor.take_largest_delay()
            accepted, largest_batch = acceptor.take_counts()
            if largest_delay < RECORDED_DELAY_SECONDS:
                continue
            self.events.record(
                EventName.LOOP_DELAYED,
                monitor.vm,
                largest_ms=round(largest_delay * MILLISECONDS_PER_SECOND),
                average_ms=round(self.detector.delay * MILLISECONDS_PER_SECOND),
                accepted=accepted,
                largest_batch=largest_batch,
                running=self.drain_barrier.running,
            )

    async def drain(self) -> None:
        """Finish accepted requests and close idle connections.

        Requests are passed on while the load balancer may still send some, if
        their responses are expected before the drain ends.
        """
        now = self.kernel.clock.monotonic()
        plan = StopPlan.from_limits(
            now, BALANCER_REMOVAL_SECONDS, self.kernel.drain_ends_at
        )
        open_seconds = plan.closes_at - now
        for channel in self.connections.open:
            channel.may_stay_open = False
        self.relay.stop_limits.begin(plan)
        closing = self.kernel.spawn(
            'gateway-leave', self.close_idle(open_seconds)
        )
        await self.drain_barrier.close(open_seconds)
        await closing
        await asyncio.sleep(FLUSH_SECONDS)
        cut_requests = self.relay.stop_limits.cut_requests
        if cut_requests:
            logging.error('gateway_requests_cut %d', cut_requests)
            self.kernel.has_cut_work = True

    async def close_idle(self, open_seconds: float) -> None:
        """Close idle connections after the load balancer has reacted."""
        await asyncio.sleep(open_seconds)
        for channel in tuple(self.connections.idle):
            channel.close()

    async def stop(self) -> None:
        """Stop listening."""
        if self.acceptor is not None:
            self.acceptor.close()

    def limits(self) -> CallerLimits:
        """Return the configured limits, or the defaults without any."""
        configuration = self.catalogue.configuration
        if configuration is None:
            return CallerLimits()
        return configuration.limits

    def on_connection(self, connection: socket.socket) -> None:
        """Start the task of a connection; it is cancelled on disconnect.

        If there are too many, the one that has waited longest for its caller is
        closed, or the new one if there is none.
        """
        if self.connections.is_full:
            self.refusals.add(RefusalCause.CONNECTIONS)
            longest_idle = self.connections.take_longest_idle()
            if longest_idle is None:
                connection.close()
                return
            longest_idle.abort()
        channel = CallerChannel(self.kernel.clock, self.limits, self.memory)
        self.connections.open.add(channel)
        task = self.kernel.spawn('caller', self.serve(channel, connection))
        channel.on_disconnect = task.cancel

    async def serve(
        self,
        channel: CallerChannel,
        connection: socket.socket,
    ) -> None:
        """Serve the requests of one connection in order."""
        with ExitStack() as stack:
            stack.callback(self.connections.discard, channel)
            stack.callback(channel.release_memory)
            await channel.open(connection)
            channel.may_stay_open = self.drain_barrier.ready
            stack.callback(channel.close)
            while await self.serve_next(channel):
                """Continue with the next request."""

    async def serve_next(self, channel: CallerChannel) -> bool:
        """Serve one request; return whether another one may follow."""
        if self.drain_barrier.rejecting and not channel.parser.requests:
            return False
        self.connections.wait(channel)
        request = await channel.next_request(
            self.limits().idle_seconds + IDLE_MARGIN_SECONDS,
        )
        self.connections.serve(channel)
        if request is None:
            await self.reject_unparsable(channel)
            return False
        if not self.memory.begin(request.held_bytes):
            await self.reject_for_memory(channel)
            return False
        with ExitStack() as stack:
            stack.callback(self.memory.end, request.held_bytes)
            return await self.serve_begun(channel, request)

    async def serve_begun(
        self, channel: CallerChannel, request: RawRequest
    ) -> bool:
        """Serve a request whose memory is counted."""
        # Lets the event loop read once more. The caller may have disconnected
        # while the request waited, and then nothing must be sent.
        await asyncio.sleep(0)
        with self.drain_barrier:
            is_in_time = await self.wait_for_turn(request)
            return await self.serve_request(
                channel, request, is_in_time=is_in_time
            )

    async def wait_for_turn(self, request: RawRequest) -> bool:
        """Wait until a request may begin; return False if that takes long."""
        now = self.kernel.clock.monotonic()
        while not self.intake.may_begin(now):
            if self.intake.is_too_late(request.received_at, now):
                return False
            await self.turn_ended.wait()
            now = self.kernel.clock.monotonic()
        if self.intake.turn_started_at is None:
            self.intake.begin_turn(now)
            self.turn_ended.clear()
            asyncio.get_running_loop().call_soon(self.end_turn)
        return True

    def end_turn(self) -> None:
        """Let requests begin in the next iteration of the event loop."""
        self.intake.end_turn()
        self.turn_ended.set()

    async def reject_unparsable(self, channel: CallerChannel) -> None:
        """Reject bytes that are not a valid request."""
        failure = channel.parser.failure
        if failure is not None and not channel.is_disconnected:
            self.refusals.add_failure(failure.kind)
            writer = ResponseWriter(channel, keeps_alive=False)
            await self.relay.reject(writer, failure)
            await channel.discard_input()

    async def reject_for_memory(self, channel: CallerChannel) -> None:
        """Reject a complete request that has not begun."""
        channel.refuse(
            Failure(
                ErrorKind.MEMORY_FULL,
                f'{self.memory.begun_bytes} bytes are held for other requests',
            )
        )
        channel.count_memory()
        await self.reject_unparsable(channel)

    async def serve_request(
        self,
        channel: CallerChannel,
        request: RawRequest,
        *,
        is_in_time: bool,
    ) -> bool:
        """Handle a request, or reject it while overloaded or stopping."""
        accepts_more_requests = (
            self.drain_barrier.ready and not self.detector.is_overloaded
        )
        keeps_alive = request.keeps_alive and accepts_more_requests
        if self.drain_barrier.rejecting:
            failure = stopping_failure()
        elif self.detector.is_severely_overloaded or not is_in_time:
            failure = Failure(
                ErrorKind.NO_CAPACITY,
                'the router is overloaded',
                retry_after_seconds=BUSY_RETRY_SECONDS,
            )
        else:
            return await self.relay.handle_request(
                channel,
                request,
                keeps_alive=keeps_alive,
            )
        writer = ResponseWriter(channel, keeps_alive=False)
        await self.relay.reject_unread(writer, failure)
        return False
