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

# SO_LINGER with time 0: closing the socket resets the connection.
NO_LINGER: Final = struct.pack('ii', 1, 0)


class RelayConnection:
    """Connects a caller to the target as far as the rules allow."""

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
        """Relay until both sides have closed or the connection is broken.

        Connections of a link that is cut stay open. When the link is
        restored, those that lost bytes are reset, since their streams have
        gaps.
        """
        with ExitStack() as stack:
            stack.callback(self.writer.close)
            # If the target is unreachable, the caller's connection is closed.
            stack.enter_context(suppress(OSError))
            await self.connect()

    async def connect(self) -> None:
        """Wait until the link is open, then connect to the target and relay.

        A connection that was dropped meanwhile is closed instead.

        Raises:
            OSError: If the target cannot be reached.
        """
        is_dropped = LinkMode.DROP in self.rule().modes
        while self.rule().modes != {LinkMode.PASS}:
            await self.table.wait_for_change()
            is_dropped |= LinkMode.DROP in self.rule().modes
        if is_dropped:
            return
        # The local address is the caller's, so that the target can
        # distinguish callers.
        reader, writer = await asyncio.open_connection(
            self.target.host,
            self.target.port,
            local_addr=(self.source, 0),
        )
        with ExitStack() as stack:
            stack.callback(writer.close)
            await self.relay(reader, writer)

    async def relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copy bytes both ways until both streams end or one is broken."""
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
        broken_link = asyncio.ensure_future(
            self.wait_until_broken(forward, backward)
        )
        pumps = asyncio.gather(forward.run(), backward.run())
        async with AsyncExitStack() as stack:
            stack.push_async_callback(cancel_all, broken_link, pumps)
            await asyncio.wait(
                (broken_link, pumps),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if broken_link.done():
                reset_connection(writer)
                reset_connection(self.writer)

    async def wait_until_broken(self, *pumps: LinkPump) -> None:
        """Wait until a direction that lost bytes is restored."""
        is_broken = False
        while not is_broken:
            await self.table.wait_for_change()
            is_broken = any(
                pump.has_dropped and pump.mode() is LinkMode.PASS
                for pump in pumps
            )

    def rule(self) -> LinkRule:
        """Return the rule in force for the caller."""
        return self.table.rule_for(self.source)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; a normal close would look like a complete stream."""
    connection = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


async def cancel_all(*futures: asyncio.Future[Any]) -> None:
    """Cancel tasks and wait until they have ended."""
    for future in futures:
        future.cancel()
    await asyncio.gather(*futures, return_exceptions=True)
