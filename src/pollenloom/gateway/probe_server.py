"""HTTP endpoints for readiness probes, metrics and duties."""

import socket
from contextlib import ExitStack, closing
from http import HTTPStatus
from typing import ClassVar, Final

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from pollenloom.duties.recorded_duty_keeper import RecordedDutyKeeper
from pollenloom.duties.status_page import DutyStatusPage
from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.caller_memory import CallerMemory
from pollenloom.gateway.gateway_server import GatewayServer
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.response_writer import ResponseWriter
from pollenloom.gateway.server_event import ResponseHead
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.metrics import Metrics
from pollenloom.routing.caller_limits import CallerLimits
from pollenloom.settings.node_settings import ListenSettings
from pollenloom.transport.connection_acceptor import ConnectionAcceptor
from pollenloom.transport.listening import open_listener

READINESS_PATH: Final = '/readyz'
METRICS_PATH: Final = '/metrics'
BACKLOG: Final = 16
IDLE_TIMEOUT_SECONDS: Final = 30.0
# Probes have no body.
MAX_HELD_BYTES: Final = 1_048_576


class ProbeServer(KernelService):
    """Serves readiness and metrics on two addresses, duties on both.

    Attributes:
        acceptors: Listeners for readiness and metrics, in this order.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.PROBES

    def __init__(self, kernel: Kernel, listen: ListenSettings) -> None:
        self.kernel = kernel
        self.listen = listen
        self.memory = CallerMemory(MAX_HELD_BYTES, probe_limits)
        self.acceptors: list[ConnectionAcceptor] = []

    async def start(self) -> None:
        """Listen on both addresses; readiness is served from now on."""
        self.metrics = self.kernel.find(KernelServiceName.METRICS, Metrics)
        for address in (self.listen.readiness, self.listen.metrics):
            listener, _ = open_listener(address, BACKLOG)
            acceptor = ConnectionAcceptor(listener, self.on_connection)
            acceptor.start()
            self.acceptors.append(acceptor)

    async def stop(self) -> None:
        """Close both listeners."""
        for acceptor in self.acceptors:
            acceptor.close()

    def on_connection(self, connection: socket.socket) -> None:
        """Start the task of a connection."""
        channel = CallerChannel(self.kernel.clock, probe_limits, self.memory)
        self.kernel.spawn('probe', self.serve(channel, connection))

    async def serve(
        self,
        channel: CallerChannel,
        connection: socket.socket,
    ) -> None:
        """Serve the requests of one connection until it is closed or idle."""
        await channel.open(connection)
        with closing(channel), ExitStack() as stack:
            stack.callback(channel.release_memory)
            while True:
                request = await channel.next_request(IDLE_TIMEOUT_SECONDS)
                if request is None:
                    return
                writer = ResponseWriter(
                    channel, keeps_alive=request.keeps_alive
                )
                head, body = self.make_response(request)
                await writer.write_response(head, body)
                if not request.keeps_alive:
                    return

    def make_response(self, request: RawRequest) -> tuple[ResponseHead, bytes]:
        """Return head and body of the response to a request."""
        if request.path == READINESS_PATH:
            gateway = self.kernel.services.get(KernelServiceName.GATEWAY)
            is_ready = isinstance(gateway, GatewayServer) and gateway.is_ready
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if is_ready:
                status = HTTPStatus.OK
            return make_response_head(status), b''
        if request.path == METRICS_PATH:
            content_type = (b'content-type', CONTENT_TYPE_LATEST.encode())
            head = ResponseHead(HTTPStatus.OK, (content_type,), is_framed=True)
            return head, generate_latest(self.metrics.registry)
        keeper = self.kernel.services.get(KernelServiceName.DUTIES)
        if isinstance(keeper, RecordedDutyKeeper):
            status, body = DutyStatusPage(keeper).respond(
                request.method, request.path, self.kernel.clock.monotonic()
            )
            return make_response_head(status), body
        return make_response_head(HTTPStatus.NOT_FOUND), b''


def probe_limits() -> CallerLimits:
    """Return the limits on a probe."""
    return CallerLimits(body_bytes=0)


def make_response_head(status: HTTPStatus) -> ResponseHead:
    """Return a response head without headers."""
    return ResponseHead(status, (), is_framed=True)
