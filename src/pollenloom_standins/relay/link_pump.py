"""One direction of a relayed connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pollenloom_standins.relay.link_rules import LinkMode, LinkRule

if TYPE_CHECKING:
    from pollenloom_standins.relay.link_table import LinkTable

CHUNK_BYTES: Final = 65_536
# Bounds the bytes on the way, as a link's buffer does.
CHUNKS_ON_THE_WAY: Final = 64


@dataclass(frozen=True, slots=True)
class Chunk:
    """Bytes on the way; none mean the end of the stream.

    Attributes:
        due: Loop time at which they arrive.
        content: The bytes.
    """

    due: float
    content: bytes


class LinkPump:
    """Carries bytes from a reader to a writer as the rules say."""

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
        self.chunks: asyncio.Queue[Chunk] = asyncio.Queue(CHUNKS_ON_THE_WAY)

    async def run(self) -> None:
        """Carry bytes until the stream's end has arrived.

        Raises:
            ConnectionError: If the writer's connection is lost.
        """
        await asyncio.gather(self.receive(), self.deliver())

    async def receive(self) -> None:
        """Read chunks and note when each arrives."""
        content = await self.read_chunk()
        while content:
            await self.put(content)
            content = await self.read_chunk()
        await self.put(b'')

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
        # Bytes after lost ones are lost as well: TCP never skips any.
        self.has_dropped |= self.mode() is LinkMode.DROP
        if self.has_dropped:
            return
        if content:
            self.writer.write(content)
            await self.writer.drain()
        elif self.writer.can_write_eof():
            self.writer.write_eof()

    async def read_chunk(self) -> bytes:
        """Read bytes; a reset reads as the end of the stream."""
        try:
            return await self.reader.read(CHUNK_BYTES)
        except ConnectionError:
            return b''

    async def put(self, content: bytes) -> None:
        """Put bytes on the way."""
        now = asyncio.get_running_loop().time()
        await self.chunks.put(Chunk(now + self.rule().delay_seconds, content))
