"""Connections to the backend servers, kept for the next requests."""

import asyncio
import socket
from collections import defaultdict, deque
from typing import ClassVar, Final

from expression import Error, Ok, Result

from pollenloom.core.backend_server import BackendServer
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.host_port import split_address
from pollenloom.core.ids import ServerId
from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName

# A reachable server accepts within some milliseconds; a lost packet is sent
# again after 200 ms.
CONNECT_SECONDS: Final = 0.5
# Unacknowledged bytes end a connection after this time, since a server
# behind a partition does not answer.
USER_TIMEOUT_MS: Final = 2500
KEEP_ALIVE_IDLE_SECONDS: Final = 1
KEEP_ALIVE_PROBES: Final = 3
# Idle connections are used up to this part of the time that the server
# tells, and for so long where it tells nothing.
IDLE_SHARE: Final = 0.6
IDLE_SECONDS: Final = 2.0
# What may not run twice goes on connections that were used just now.
FRESH_SECONDS: Final = 0.7
SWEEP_SECONDS: Final = 1.0


class ServerLinks(KernelService):
    """Open connections by server."""

    name: ClassVar[KernelServiceName] = KernelServiceName.SERVER_LINKS

    def __init__(self, kernel: Kernel, header_codec: HeaderCodec) -> None:
        self.kernel = kernel
        self.header_codec = header_codec
        self.idle: dict[ServerId, deque[ServerChannel]] = defaultdict(deque)

    async def start(self) -> None:
        """Start to close connections that are idle for long."""
        self.kernel.spawn('server-links-sweep', self.sweep())

    async def stop(self) -> None:
        """Close all idle connections."""
        for channels in self.idle.values():
            for channel in channels:
                channel.abort()
        self.idle.clear()

    async def take(
        self,
        server: BackendServer,
        *,
        is_repeatable: bool,
    ) -> Result[ServerChannel, Failure]:
        """Return a connection, an idle one if it is surely still open."""
        now = self.kernel.clock.monotonic()
        channels = self.idle[server.server]
        while channels:
            channel = channels.pop()
            if self.is_usable(channel, now, is_repeatable=is_repeatable):
                return Ok(channel)
            channel.abort()
        return await self.connect(server.address)

    async def connect(self, address: str) -> Result[ServerChannel, Failure]:
        """Open a connection."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        connecting = asyncio.ensure_future(
            loop.create_connection(
                lambda: ServerChannel(self.header_codec.id_header),
                host,
                port,
            ),
        )
        # A cancelled attempt of uvloop 0.22.1 may close a foreign descriptor.
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                transport, channel = await asyncio.shield(connecting)
        except (TimeoutError, OSError) as error:
            connecting.add_done_callback(close_unused)
            detail = f'no connection to {address}: {error!r}'
            return Error(Failure(ErrorKind.NO_CAPACITY, detail))
        except asyncio.CancelledError:
            connecting.add_done_callback(close_unused)
            raise
        set_options(transport.get_extra_info('socket'))
        return Ok(channel)

    def put_back(self, server: BackendServer, channel: ServerChannel) -> None:
        """Keep a connection whose answer is complete, or close it."""
        if not channel.is_reusable or not channel.is_open:
            channel.abort()
            return
        channel.idle_since = self.kernel.clock.monotonic()
        self.idle[server.server].append(channel)

    def is_usable(
        self,
        channel: ServerChannel,
        now: float,
        *,
        is_repeatable: bool,
    ) -> bool:
        """Whether an idle connection may carry a request."""
        if not channel.is_open or not channel.is_reusable:
            return False
        limit = IDLE_SECONDS
        if channel.idle_seconds is not None:
            limit = channel.idle_seconds * IDLE_SHARE
        if not is_repeatable:
            limit = min(limit, FRESH_SECONDS)
        return now - channel.idle_since < limit

    async def sweep(self) -> None:
        """Close connections that nobody will use again."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self.kernel.clock.monotonic()
            for server in tuple(self.idle):
                self.close_old(server, now)

    def close_old(self, server: ServerId, now: float) -> None:
        """Close the connections to a server that will not be used again."""
        kept: deque[ServerChannel] = deque()
        for channel in self.idle.pop(server):
            if self.is_usable(channel, now, is_repeatable=True):
                kept.append(channel)
            else:
                channel.abort()
        if kept:
            self.idle[server] = kept


def close_unused(
    connecting: 'asyncio.Task[tuple[asyncio.Transport, ServerChannel]]',
) -> None:
    """Close a connection that came after its request had given up."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[0].abort()


def set_options(endpoint: socket.socket) -> None:
    """Let a connection to a silent host end by itself."""
    endpoint.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT_MS,
    )
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    ):
        endpoint.setsockopt(socket.IPPROTO_TCP, option, number)
