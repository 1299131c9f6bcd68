"""A backend server that answers with the bytes that a test gives it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

HEAD_END: Final = b'\r\n\r\n'


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """One request as it arrived."""

    start_line: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class ScriptedWorker:
    """Listens on a port of its own and hands each request to a script.

    The script writes the answer and may close the connection.

    Attributes:
        requests: All that arrived.
        lost: Connections that ended while the script ran.
    """

    script: Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]
    requests: list[ReceivedRequest] = field(default_factory=list)
    lost: int = 0
    address: str = ''
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                request = await read_request(reader)
                self.requests.append(request)
                await self.answer(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def answer(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run the script until it ends or the caller leaves."""
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


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request with a length."""
    head = (await reader.readuntil(HEAD_END)).decode('latin-1')
    start_line, *lines = head.rstrip().split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return ReceivedRequest(start_line, headers, body)
