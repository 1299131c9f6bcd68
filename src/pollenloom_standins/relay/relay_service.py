"""TCP forwarder that can cut and delay links."""

import asyncio
from typing import TYPE_CHECKING, ClassVar

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.relay.link_rules import LinkRules
from pollenloom_standins.relay.link_table import LinkTable
from pollenloom_standins.relay.relay_connection import RelayConnection
from pollenloom_standins.serving.listen_address import ListenAddress

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel


class RelayService(KernelService):
    """Forwards connections to one target, with one task for each.

    Attributes:
        listen: Address to listen on.
        target: Address to which connections are forwarded.
        address: Address with the actual port; empty before the start.
        table: Rules in force.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_RELAY

    def __init__(
        self,
        kernel: 'Kernel',
        listen: ListenAddress,
        target: ListenAddress,
    ) -> None:
        self.kernel = kernel
        self.listen = listen
        self.target = target
        self.address = ''
        self.table = LinkTable(LinkRules())
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and set `address`."""
        self.server = await asyncio.start_server(
            self.accept,
            self.listen.host,
            self.listen.port,
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = str(ListenAddress(host, port))

    async def stop(self) -> None:
        """Close the listener; the kernel then ends the connections' tasks."""
        if self.server is not None:
            self.server.close()

    def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Start the task of a connection."""
        connection = RelayConnection(reader, writer, self.table, self.target)
        self.kernel.spawn(f'relay {connection.source}', connection.run())
