"""Backend server that plays its part of a conversation."""

import asyncio
import socket
import struct
import time
from collections.abc import Sequence
from contextlib import suppress
from typing import Final

import h11

from pollenloom.core.ids import ServerId
from pollenloom_standins.wire.answer_bytes import (
    closes_connection,
    make_bytes,
    make_endless,
    split,
)
from pollenloom_standins.wire.conversation import (
    ConnectionEnd,
    Conversation,
    Fate,
)
from pollenloom_standins.wire.message_events import next_event, resume
from pollenloom_standins.wire.observation import SeenRequest
from pollenloom_standins.wire.router_process import ZONE, RouterProcess
from pollenloom_standins.worker.responses import server_entry

HOST: Final = '127.0.0.1'
REPORT_SECONDS: Final = 1.2
NANOSECONDS_PER_MILLISECOND: Final = 1_000_000
SLOTS: Final = 500
ID_HEADER: Final = b'x-pollenloom-attempt-id'
MISDIRECTED: Final = (
    b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'
)
# With this option, closing a socket resets its connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class WireServer:
    """Serves one conversation at a time on a port of its own.

    Attributes:
        server_id: Its id.
        service: Service that it belongs to.
        born: When its process started, Unix milliseconds.
        reports: Number of its reports to the store.
        conversation: The conversation in progress.
        received: Requests of it that were received.
        address: `host:port`; kept when it listens again.
        is_full: Whether it resets new connections.
    """

    def __init__(
        self, server_id: ServerId, service: str, router: RouterProcess
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.router = router
        self.conversation: Conversation | None = None
        self.received: list[SeenRequest] = []
        self.address = ''
        self.port = 0
        self.born = 0
        self.reports = 0
        self.is_full = False
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Start a process that listens, on the same port as before."""
        now = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self.born = max(now, self.born + 1)
        self.listener = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{self.port}'

    async def report(self, state: str = 'ready') -> None:
        """Write its entry to the store."""
        self.reports += 1
        entry = server_entry(
            self.address,
            service=self.service,
            slots=SLOTS,
            zone=ZONE,
            state=state,
            seq=self.reports,
            born=self.born,
        )
        await self.router.store.write('keyed.servers', self.server_id, entry)

    async def report_while_running(self) -> None:
        """Write its entry again and again, but not once its process ended."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            if self.listener is not None:
                await self.report()

    async def begin(self, conversation: Conversation) -> None:
        """Prepare for a conversation."""
        if self.listener is None:
            await self.listen()
        self.conversation = conversation
        self.received = []
        self.is_full = False

    def end(self) -> None:
        """Close all connections as a process that ends, and stop listening."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in tuple(self.writers):
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection until it ends."""
        if self.is_full:
            reset(writer)
            return
        self.writers.add(writer)
        with suppress(
            ConnectionError, h11.RemoteProtocolError, asyncio.CancelledError
        ):
            rest = b''
            while not writer.is_closing():
                request, rest = await read_request(reader, rest)
                await self.respond(request, writer)
        self.writers.discard(writer)
        writer.close()

    async def respond(
        self, request: SeenRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Write the answer to a request and end it as planned."""
        conversation = self.conversation
        if conversation is None:
            writer.write(MISDIRECTED)
            return
        self.received.append(request)
        plan = conversation.server
        if plan.is_endless:
            await write_endless(conversation, request.request_id, writer)
            return
        self.is_full = plan.fate is Fate.FULL
        content = make_bytes(conversation, request.request_id)
        await write_parts(writer, split(content, plan.write_bytes))
        await self.finish(conversation, writer)

    async def finish(
        self, conversation: Conversation, writer: asyncio.StreamWriter
    ) -> None:
        """Do to the connection and the process what is planned."""
        plan = conversation.server
        match plan.fate:
            case Fate.GONE | Fate.LEFT:
                self.end()
            case Fate.BACK:
                with self.router.frozen():
                    self.end()
                    await asyncio.sleep(0)
                    await self.listen()
            case Fate.RUNS | Fate.FULL:
                if plan.end is ConnectionEnd.RESET:
                    reset(writer)
                elif closes_connection(conversation):
                    writer.close()


async def read_request(
    reader: asyncio.StreamReader, received: bytes
) -> tuple[SeenRequest, bytes]:
    """Read one request; return it and what was received behind it.

    Raises:
        ConnectionError: If the connection ends first.
        h11.RemoteProtocolError: If it is no request.
    """
    connection = h11.Connection(h11.SERVER)
    resume(connection, received)
    head = await next_event(connection, reader)
    if not isinstance(head, h11.Request):
        raise ConnectionResetError('no request has arrived')
    body = bytearray()
    event = await next_event(connection, reader)
    while isinstance(event, h11.Data):
        body += event.data
        event = await next_event(connection, reader)
    return make_seen(head, bytes(body)), connection.trailing_data[0]


def make_seen(head: h11.Request, body: bytes) -> SeenRequest:
    """Return a received request."""
    headers = dict(head.headers)
    return SeenRequest(
        method=head.method.decode(),
        path=head.target.decode(),
        request_id=headers.get(ID_HEADER, b'').decode(),
        body=body,
    )


async def write_parts(
    writer: asyncio.StreamWriter, parts: Sequence[bytes]
) -> None:
    """Write parts, so that each may arrive in a read of its own."""
    for part in parts:
        writer.write(part)
        await writer.drain()
        if len(parts) > 1:
            await asyncio.sleep(0)


async def write_endless(
    conversation: Conversation, request_id: str, writer: asyncio.StreamWriter
) -> None:
    """Write until the connection is closed."""
    head, repeated = make_endless(conversation, request_id)
    writer.write(head)
    while not writer.is_closing():
        writer.write(repeated)
        await writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection after what was written to it is sent."""
    connection: socket.socket = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
