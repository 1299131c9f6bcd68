"""One direction of a relayed connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pollenloom_standins.relay.link_rules import LinkMode, LinkRule

if TYPE_CHECKING:
    from pollenloom_standins.relay.link_table import LinkTable

CHUNK_BYTES: Final = 65_536
# Limits the bytes in flight, as the buffer of a link does.
MAXIMUM_CHUNKS_IN_FLIGHT: Final = 64


@dataclass(frozen=True, slots=True)
class Chunk:
    """Bytes in flight.

    Attributes:
        due: Loop time at which they arrive, in seconds.
        content: The bytes; empty for the end of the stream.
    """

    due: float
    content: bytes


class LinkPump:
    """Copies bytes from a reader to a writer according to the rules.

    Attributes:
        rule: Returns the rule in force.
        mode: Returns the mode in force for this direction.
        has_dropped: Whether bytes of the stream were lost.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        table: 'LinkTable',
        rule: Callable[[], LinkRule],
        mode: Callable[[], LinkMode],
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.table = table
        self.rule = rule
        self.mode = mode
        self.has_dropped = False
        self.chunks: asyncio.Queue[Chunk] = asyncio.Queue(
            MAXIMUM_CHUNKS_IN_FLIGHT
        )

    async def run(self) -> None:
        """Copy bytes until the end of the stream is delivered.

        Raises:
            ConnectionError: If the writer's connection is lost.
        """
        await asyncio.gather(self.receive(), self.deliver())

    async def receive(self) -> None:
        """Read chunks and queue them until they are due."""
        content = await self.read_chunk()
        while content:
            await self.enqueue(content)
            content = await self.read_chunk()
        await self.enqueue(b'')

    async def deliver(self) -> None:
        """Write chunks when they are due."""
        loop = asyncio.get_running_loop()
        is_open = True
        while is_open:
            chunk = await self.chunks.get()
            await asyncio.sleep(max(chunk.due - loop.time(), 0))
            await self.deliver_chunk(chunk.content)
            is_open = bool(chunk.content)

    async def deliver_chunk(self, content: bytes) -> None:
        """Write, drop or hold one chunk."""
        while self.mode() is LinkMode.HOLD:
            await self.table.wait_for_change()
        # Bytes after lost ones are lost as well, since TCP never skips bytes.
        self.has_dropped |= self.mode() is LinkMode.DROP
        if self.has_dropped:
            return
        if content:
            self.writer.write(content)
            await self.writer.drain()
        elif self.writer.can_write_eof():
            self.writer.write_eof()

    async def read_chunk(self) -> bytes:
        """Read bytes; a reset counts as the end of the stream."""
        try:
            return await self.reader.read(CHUNK_BYTES)
        except ConnectionError:
            return b''

    async def enqueue(self, content: bytes) -> None:
        """Queue bytes with the time at which they are due."""
        now = asyncio.get_running_loop().time()
        await self.chunks.put(Chunk(now + self.rule().delay_seconds, content))
