"""Connections that show whether the process of a server still runs."""

import asyncio
from collections import Counter
from collections.abc import Generator
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING, ClassVar, Final

from pollenloom.core.backend_server import BackendServer
from pollenloom.gateway.server_connection_pool import ServerConnectionPool
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName

if TYPE_CHECKING:
    from pollenloom.core.ids import ServerId

# Short responses end before; a connection for them would only cost the server.
MIN_RESPONSE_SECONDS: Final = 0.05
# Pause before another attempt at a server that resets or refuses connections.
REOPEN_SECONDS: Final = 1.0


class LivenessConnections(KernelService):
    """Holds a connection to each server that sends responses without length.

    Such a response ends with its connection, as all connections of a process do
    when it ends. Another connection that is still open tells the two apart.
    There is one for each server, with a task of its own, as long as such
    responses run.

    Attributes:
        holders: Number of responses that need the connection, by server.
        tasks: Tasks that hold a connection, by server.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.LIVENESS_CONNECTIONS

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.holders: Counter[ServerId] = Counter()
        self.tasks: dict[ServerId, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Find the pool that the connections are taken from."""
        self.connection_pool = self.kernel.find(
            KernelServiceName.SERVER_CONNECTION_POOL,
            ServerConnectionPool,
        )

    async def stop(self) -> None:
        """Do nothing; the kernel ends the tasks."""

    @contextmanager
    def held(self, server: BackendServer) -> Generator[None, None, None]:
        """Hold a connection to a server while a response of it runs."""
        server_id = server.server
        self.holders[server_id] += 1
        if server_id not in self.tasks:
            self.tasks[server_id] = self.kernel.spawn(
                f'liveness-{server_id}', self.hold_open(server)
            )
        try:
            yield
        finally:
            self.holders[server_id] -= 1
            if not self.holders[server_id]:
                self.holders.pop(server_id)
                self.tasks.pop(server_id).cancel()

    async def hold_open(self, server: BackendServer) -> None:
        """Hold a connection, and open another one when the server closes it."""
        await asyncio.sleep(MIN_RESPONSE_SECONDS)
        while True:
            acquired = await self.connection_pool.acquire(
                server, is_repeatable=True
            )
            if acquired.is_ok():
                with ExitStack() as stack:
                    stack.callback(
                        self.connection_pool.give_back, server, acquired.ok
                    )
                    await acquired.ok.history.closed.wait()
            await asyncio.sleep(REOPEN_SECONDS)
