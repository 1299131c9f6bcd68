"""Link to a server whose open connections can go silent."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager, suppress

from pollenloom.core.host_port import split_address

READ_BYTES = 65_536


class SilentLink:
    """Relays connections to a server; new ones always work.

    Attributes:
        address: Address to connect to, `host:port`.
        accepted: Number of accepted connections.
        tasks: Tasks that relay the bytes of one direction of a connection.
        silent: The tasks that discard all further bytes.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ''
        self.accepted = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.silent: set[asyncio.Task[None]] = set()

    @classmethod
    @asynccontextmanager
    async def to(cls, target: str) -> AsyncGenerator['SilentLink', None]:
        """Listen for connections to a target, `host:port`."""
        link = cls(target)
        server = await asyncio.start_server(link.accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        link.address = f'{host}:{port}'
        try:
            yield link
        finally:
            server.close()
            for task in link.tasks:
                task.cancel()

    def silence(self) -> None:
        """Pass on nothing more on the connections that are open now."""
        self.silent |= self.tasks

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relay a connection in both directions."""
        self.accepted += 1
        there = await asyncio.open_connection(*split_address(self.target))
        for source, sink in ((reader, there[1]), (there[0], writer)):
            task = asyncio.create_task(self.relay(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def relay(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        """Relay one direction until its end."""
        task = asyncio.current_task()
        with suppress(ConnectionError):
            while content := await source.read(READ_BYTES):
                if task not in self.silent:
                    sink.write(content)
                    await sink.drain()
        if task not in self.silent:
            sink.close()
