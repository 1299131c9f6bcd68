"""Pool of reusable connections to the backend servers."""

import asyncio
import socket
from collections import defaultdict, deque
from functools import partial
from typing import Any, ClassVar, Final

from expression import Error, Ok, Result

from pollenloom.core.backend_server import BackendServer
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.host_port import split_address
from pollenloom.core.ids import ServerId
from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.open_connections import OpenConnections
from pollenloom.gateway.response_buffers import ResponseBuffers
from pollenloom.gateway.response_end import NewConnection
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_event import UnrequestedBytes
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.observability.line_budget import LineBudget

# A reachable server accepts within a few milliseconds; ten steps, 0.5 s, leave
# time for the retransmission of a lost packet, which TCP sends after 200 ms.
# While the event loop stands still, a step takes longer: on a router out of
# processor time the connection is open before the loop gets to see it.
CONNECT_STEP_SECONDS: Final = 0.05
CONNECT_STEPS: Final = 10
# What holds the address of a server that has ended drops new connections within
# a few milliseconds.
DROP_SECONDS: Final = 0.02
# A connection is closed if sent bytes stay unacknowledged for this long, which
# detects servers behind a network partition.
USER_TIMEOUT_MS: Final = 2500
KEEP_ALIVE_IDLE_SECONDS: Final = 1
KEEP_ALIVE_PROBES: Final = 3
# Share of the server's announced keep-alive time during which an idle
# connection is reused.
KEEP_ALIVE_SHARE: Final = 0.6
# Limit for servers that announce no keep-alive time.
DEFAULT_IDLE_SECONDS: Final = 2.0
# Requests that must not run twice only reuse connections that were used very
# recently, since the server may be closing an older one.
UNREPEATABLE_IDLE_SECONDS: Final = 0.7
SWEEP_INTERVAL_SECONDS: Final = 1.0
# A server that has sent bytes nobody asked for may send more for some seconds.
# They meet no other response on connections that carry one request each.
SINGLE_USE_SECONDS: Final = 10.0


class ServerConnectionPool(KernelService):
    """Keeps idle connections by backend server.

    Attributes:
        buffers: Bytes of the responses on all connections.
        open_connections: All open connections, idle or not.
        idle: Idle connections of each server, the most recently used last.
        unrequested_at: When servers last sent bytes that answered no request,
            monotonic seconds.
        unrequested_lines: Limit on the lines of such bytes.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.SERVER_CONNECTION_POOL

    def __init__(self, kernel: Kernel, header_codec: HeaderCodec) -> None:
        self.kernel = kernel
        self.header_codec = header_codec
        self.buffers = ResponseBuffers()
        self.open_connections = OpenConnections()
        self.idle: dict[ServerId, deque[ServerChannel]] = defaultdict(deque)
        self.unrequested_at: dict[ServerId, float] = {}
        self.unrequested_lines = LineBudget()

    async def start(self) -> None:
        """Start closing connections that were idle for too long."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.kernel.spawn('server-links-sweep', self.sweep())

    async def stop(self) -> None:
        """Close all idle connections."""
        for channels in self.idle.values():
            for channel in channels:
                channel.abort()
        self.idle.clear()

    async def acquire(
        self,
        server: BackendServer,
        *,
        is_repeatable: bool,
    ) -> Result[ServerChannel, Failure]:
        """Return an idle connection that is safe to reuse, or open a new one.

        Errors:
            NO_CAPACITY: No connection could be made in time.
        """
        now = self.kernel.clock.monotonic()
        channels = self.idle[server.server]
        while channels:
            channel = channels.pop()
            if self.is_usable(channel, now, is_repeatable=is_repeatable):
                return Ok(channel)
            channel.abort()
        opened = await self.connect(server.address)
        if opened.is_ok():
            self.watch(server.server, opened.ok)
        return opened

    def watch(self, server: ServerId, channel: ServerChannel) -> None:
        """Get told of unrequested bytes on a connection and of its close."""
        channel.history.on_unrequested = partial(
            self.unrequested_received, server, channel
        )
        channel.history.on_closed = partial(self.closed, server, channel)
        now = self.kernel.clock.monotonic()
        self.open_connections.add(server, channel, now)

    def closed(self, server: ServerId, channel: ServerChannel) -> None:
        """Record that a connection was closed."""
        now = self.kernel.clock.monotonic()
        self.open_connections.closed(server, channel, now)

    def unrequested_received(
        self,
        server: ServerId,
        channel: ServerChannel,
        where: UnrequestedBytes,
    ) -> None:
        """Close idle connections to a server whose bytes answer no request."""
        now = self.kernel.clock.monotonic()
        self.unrequested_at[server] = now
        for idle in self.idle.pop(server, ()):
            idle.abort()
        if not self.unrequested_lines.may_write(now):
            return
        request_id = channel.history.request_id or b''
        self.events.record(
            EventName.BYTES_UNREQUESTED,
            server,
            where=where.value,
            request=request_id.decode('latin-1'),
        )

    async def connect(self, address: str) -> Result[ServerChannel, Failure]:
        """Open a connection to a `host:port` address.

        Errors:
            NO_CAPACITY: No connection could be made in time.
        """
        opened = await self.open_channel(address)
        if opened.is_error():
            detail = f'cannot connect to {address}: {opened.error!r}'
            return Error(Failure(ErrorKind.NO_CAPACITY, detail))
        return Ok(opened.ok)

    async def probe(self, server: BackendServer) -> NewConnection:
        """Return what a server does with a new connection.

        One that it keeps is used for requests.
        """
        opened = await self.open_channel(server.address)
        if opened.is_error():
            return classify_error(opened.error)
        self.watch(server.server, opened.ok)
        await asyncio.sleep(DROP_SECONDS)
        is_kept = opened.ok.is_open
        self.release(server, opened.ok)
        return NewConnection.KEPT if is_kept else NewConnection.DROPPED

    async def open_channel(
        self, address: str
    ) -> Result[ServerChannel, OSError]:
        """Open a connection; return the error if none could be made in time."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        connecting = asyncio.ensure_future(
            loop.create_connection(
                lambda: ServerChannel(
                    self.header_codec.id_header, self.buffers
                ),
                host,
                port,
            ),
        )
        # Cancelling a connection attempt in uvloop 0.22.1 can close a file
        # descriptor that was reused by another connection, so the attempt goes
        # on, and a connection that opens too late is closed.
        try:
            await wait_in_steps(connecting)
        except asyncio.CancelledError:
            connecting.add_done_callback(close_unused)
            raise
        if not connecting.done():
            connecting.add_done_callback(close_unused)
            return Error(TimeoutError('no connection in time'))
        try:
            transport, channel = connecting.result()
        except OSError as error:
            return Error(error)
        tcp_socket = transport.get_extra_info('socket')
        if tcp_socket is None:
            # The server closed it before this task ran again.
            return Error(ConnectionResetError('closed at once'))
        set_socket_options(tcp_socket)
        return Ok(channel)

    def release(self, server: BackendServer, channel: ServerChannel) -> None:
        """Keep a connection for reuse, or close it if it is not reusable."""
        now = self.kernel.clock.monotonic()
        if self.is_single_use(server.server, now) or not channel.may_be_kept():
            channel.abort()
            return
        channel.idle_since = now
        self.idle[server.server].append(channel)

    def give_back(self, server: BackendServer, channel: ServerChannel) -> None:
        """Keep a connection that was taken but not used, or close it.

        The server counts its idle time on.
        """
        now = self.kernel.clock.monotonic()
        is_usable = self.is_usable(channel, now, is_repeatable=True)
        if is_usable and not self.is_single_use(server.server, now):
            self.idle[server.server].appendleft(channel)
        else:
            channel.abort()

    def is_single_use(self, server: ServerId, now: float) -> bool:
        """Whether connections to a server carry one request each."""
        received_at = self.unrequested_at.get(server)
        return (
            received_at is not None and now - received_at < SINGLE_USE_SECONDS
        )

    def discard_silent(self, server: BackendServer, sent_at: float) -> None:
        """Close the connections that were idle when a request got no answer.

        Open connections can go silent together while new ones work. One that
        was used later has carried a response since.

        Args:
            server: Server that did not answer.
            sent_at: When the request was sent, monotonic seconds.
        """
        channels = self.idle.pop(server.server, deque())
        for channel in channels:
            if channel.idle_since < sent_at:
                channel.abort()
        kept = deque(each for each in channels if each.is_reusable)
        if kept:
            self.idle[server.server] = kept

    def is_usable(
        self,
        channel: ServerChannel,
        now: float,
        *,
        is_repeatable: bool,
    ) -> bool:
        """Whether an idle connection may carry another request."""
        if not channel.is_open or not channel.is_reusable:
            return False
        limit = DEFAULT_IDLE_SECONDS
        if channel.idle_timeout_seconds is not None:
            limit = channel.idle_timeout_seconds * KEEP_ALIVE_SHARE
        if not is_repeatable:
            limit = min(limit, UNREPEATABLE_IDLE_SECONDS)
        return now - channel.idle_since < limit

    async def sweep(self) -> None:
        """Periodically close connections that may no longer be reused."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = self.kernel.clock.monotonic()
            for server in tuple(self.idle):
                self.close_unusable(server, now)
            self.open_connections.forget(now)
            for server in tuple(self.unrequested_at):
                if not self.is_single_use(server, now):
                    self.unrequested_at.pop(server)

    def close_unusable(self, server: ServerId, now: float) -> None:
        """Close the connections to a server that may no longer be reused."""
        kept: deque[ServerChannel] = deque()
        for channel in self.idle.pop(server):
            if self.is_usable(channel, now, is_repeatable=True):
                kept.append(channel)
            else:
                channel.abort()
        if kept:
            self.idle[server] = kept


async def wait_in_steps(connecting: 'asyncio.Future[Any]') -> None:
    """Wait until a connection is open or failed, for a limited time.

    The time in which the event loop stood still counts for one step.
    """
    for _ in range(CONNECT_STEPS):
        await asyncio.wait((connecting,), timeout=CONNECT_STEP_SECONDS)
        if connecting.done():
            return


def classify_error(error: OSError) -> NewConnection:
    """Return what an error in opening a connection says of the server."""
    if isinstance(error, ConnectionRefusedError):
        return NewConnection.REFUSED
    if isinstance(error, ConnectionResetError):
        return NewConnection.DROPPED
    return NewConnection.UNANSWERED


def close_unused(
    connecting: 'asyncio.Task[tuple[asyncio.Transport, ServerChannel]]',
) -> None:
    """Close a connection that opened after its request gave up waiting."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[0].abort()


def set_socket_options(tcp_socket: socket.socket) -> None:
    """Make TCP close a connection whose peer has become unreachable."""
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT_MS,
    )
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    ):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)
