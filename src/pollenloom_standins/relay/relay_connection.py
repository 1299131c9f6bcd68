"""One relayed connection."""

import asyncio
import socket
import struct
from contextlib import AsyncExitStack, ExitStack, suppress
from typing import TYPE_CHECKING, Any, Final

from pollenloom_standins.relay.link_pump import LinkPump
from pollenloom_standins.relay.link_rules import LinkMode, LinkRule

if TYPE_CHECKING:
    from pollenloom_standins.relay.link_table import LinkTable
    from pollenloom_standins.serving.listen_address import ListenAddress

# Makes closing a socket reset its connection.
NO_LINGER: Final = struct.pack('ii', 1, 0)


class RelayConnection:
    """Joins a caller to the target while the rules allow it."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        table: 'LinkTable',
        target: 'ListenAddress',
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.table = table
        self.target = target
        self.source: str = writer.get_extra_info('peername')[0]

    async def run(self) -> None:
        """Relay until both ends have closed or a lost link is back.

        While a link is cut its connections stay open. When it is back, those
        that lost bytes are aborted, since their streams have holes.
        """
        with ExitStack() as stack:
            stack.callback(self.writer.close)
            # If the target refuses, the caller sees a closed connection.
            stack.enter_context(suppress(OSError))
            await self.connect()

    async def connect(self) -> None:
        """Connect to the target and relay.

        Raises:
            OSError: If the target cannot be reached.
        """
        is_dropped = LinkMode.DROP in self.rule().modes
        while self.rule().modes != {LinkMode.PASS}:
            await self.table.wait_for_change()
            is_dropped |= LinkMode.DROP in self.rule().modes
        if is_dropped:
            return
        # The target sees the caller's address, so that it can tell callers
        # apart.
        reader, writer = await asyncio.open_connection(
            self.target.host,
            self.target.port,
            local_addr=(self.source, 0),
        )
        with ExitStack() as stack:
            stack.callback(writer.close)
            await self.join(reader, writer)

    async def join(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carry bytes both ways until the streams end or one is broken."""
        forward = LinkPump(
            self.reader,
            writer,
            self.table,
            self.rule,
            lambda: self.rule().forward,
        )
        backward = LinkPump(
            reader,
            self.writer,
            self.table,
            self.rule,
            lambda: self.rule().backward,
        )
        watch = asyncio.ensure_future(self.watch(forward, backward))
        pumps = asyncio.gather(forward.run(), backward.run())
        async with AsyncExitStack() as stack:
            stack.push_async_callback(cancel_all, watch, pumps)
            await asyncio.wait(
                (watch, pumps),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if watch.done():
                reset(writer)
                reset(self.writer)

    async def watch(self, *pumps: LinkPump) -> None:
        """Wait until a link that lost bytes is back."""
        is_broken = False
        while not is_broken:
            await self.table.wait_for_change()
            is_broken = any(
                pump.has_dropped and pump.mode() is LinkMode.PASS
                for pump in pumps
            )

    def rule(self) -> LinkRule:
        """Return the rule in force."""
        return self.table.rule_for(self.source)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection: a normal close would look like a whole stream."""
    link = writer.get_extra_info('socket')
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


async def cancel_all(*futures: asyncio.Future[Any]) -> None:
    """Cancel tasks and wait until they have ended."""
    for future in futures:
        future.cancel()
    await asyncio.gather(*futures, return_exceptions=True)
