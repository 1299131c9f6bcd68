"""A backend server whose responses are bytes written by a script."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

HEAD_END: Final = b'\r\n\r\n'
READ_BYTES: Final = 65_536


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """One received request.

    Attributes:
        start_line: Method, path and version.
        headers: Headers with lower-case names.
        body: Body of the request.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class ScriptedBackend:
    """Listens on a free port and runs a script for each request.

    The script writes the response and may close the connection.

    Attributes:
        script: Function that responds to a request.
        requests: All received requests.
        lost: Number of connections that ended while the script ran.
        address: `host:port`; empty before the start.
        writers: Open connections.
        reads_bodies: Whether bodies are read before the script runs. Otherwise
            a connection carries one request, and the script gets no body.
        late_bytes: What arrived on such connections behind the heads, read
            after the script.
    """

    script: Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]
    requests: list[ReceivedRequest] = field(default_factory=list)
    lost: int = 0
    address: str = ''
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    reads_bodies: bool = True
    late_bytes: list[bytes] = field(default_factory=list)

    async def start(self) -> None:
        """Listen and set `address`."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening; open connections stay open."""
        if self.server is not None:
            self.server.close()

    async def crash(self) -> None:
        """Stop listening and close all connections, as a process that ends."""
        await self.stop()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Handle the requests of one connection until it ends."""
        self.writers.add(writer)
        try:
            while True:
                await self.handle_request(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def handle_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read one request and run the script for it."""
        request = await read_request(reader, reads_body=self.reads_bodies)
        self.requests.append(request)
        await self.run_script(request, reader, writer)
        if not self.reads_bodies:
            self.late_bytes.append(await read_rest(reader))

    async def run_script(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run the script until it ends or the connection is closed.

        Raises:
            ConnectionResetError: If the connection is closed first.
        """
        running = asyncio.ensure_future(self.script(request, writer))
        while not running.done():
            await asyncio.wait((running,), timeout=0.02)
            if reader.at_eof() or writer.is_closing():
                break
        if running.done():
            running.result()
            return
        self.lost += 1
        running.cancel()
        raise ConnectionResetError


async def read_request(
    reader: asyncio.StreamReader, *, reads_body: bool = True
) -> ReceivedRequest:
    """Read one request; its body must have a `Content-Length`.

    Raises:
        asyncio.IncompleteReadError: If the connection ends first.
    """
    head = (await reader.readuntil(HEAD_END)).decode('latin-1')
    start_line, *lines = head.rstrip().split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    length = int(headers.get('content-length', 0)) if reads_body else 0
    body = await reader.readexactly(length)
    return ReceivedRequest(start_line, headers, body)


async def read_rest(reader: asyncio.StreamReader) -> bytes:
    """Read until the connection ends; return what has arrived until then."""
    received = b''
    with suppress(ConnectionError):
        while part := await reader.read(READ_BYTES):
            received += part
    return received


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset; unsent bytes are lost."""
    tcp_socket = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
