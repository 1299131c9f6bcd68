"""Connections that are held while a response without length runs."""

import asyncio
from dataclasses import dataclass, field

import pytest

from pollenloom.gateway.liveness_connections import LivenessConnections
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
)
from tests.gateway.conftest import RouterEnvironment, event, stream_head


@dataclass
class CountingServer:
    """A server of responses without length that counts its connections.

    Attributes:
        seconds: How long a response takes.
        accepted: Connections that it accepted, in order.
    """

    environment: RouterEnvironment
    seconds: float
    accepted: list[asyncio.StreamWriter] = field(default_factory=list)

    async def start(self) -> None:
        """Listen and register."""
        self.backend = ScriptedBackend(self.respond)
        listener = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        host, port = listener.sockets[0].getsockname()
        self.backend.address = f'{host}:{port}'
        self.environment.stack.callback(listener.close)
        self.environment.servers.append(self.backend)
        await self.environment.register(self.backend)
        await self.environment.ready(1)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        self.accepted.append(writer)
        await self.backend.serve(reader, writer)

    async def respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Write a response and close its connection."""
        head = stream_head(request)
        writer.write(head.replace(b'Transfer-Encoding: chunked\r\n', b''))
        writer.write(event(1))
        await asyncio.sleep(self.seconds)
        writer.write(event(2))
        await writer.drain()
        writer.close()

    async def fetch(self) -> None:
        """Send a request and check its response."""
        caller = await self.environment.connect()
        response = await caller.fetch('/stream/')
        assert response.is_complete
        assert response.body == event(1) + event(2)


def find_liveness(environment: RouterEnvironment) -> LivenessConnections:
    """Return the service that holds the connections."""
    return environment.kernel.find(
        KernelServiceName.LIVENESS_CONNECTIONS, LivenessConnections
    )


@pytest.mark.parametrize(
    ('seconds', 'connections'),
    # Of the request, the check after its end and, if it is long, the liveness.
    [(0, 2), (0.3, 3)],
)
async def test_only_long_responses_take_another_connection(
    environment: RouterEnvironment, seconds: float, connections: int
) -> None:
    """Guards against a server that pays for each short response twice."""
    server = CountingServer(environment, seconds)
    await server.start()
    await server.fetch()
    assert len(server.accepted) == connections


async def test_responses_share_a_connection(
    environment: RouterEnvironment,
) -> None:
    """Guards against a liveness connection for each response."""
    server = CountingServer(environment, seconds=0.4)
    await server.start()
    fetching = [asyncio.create_task(server.fetch()) for _ in range(4)]
    await asyncio.sleep(0.3)
    liveness = find_liveness(environment)
    assert len(server.accepted) == len(fetching) + 1
    assert len(liveness.tasks) == 1
    await asyncio.gather(*fetching)
    assert not liveness.tasks
    assert not liveness.holders


async def test_connection_that_the_server_closes_is_opened_again(
    environment: RouterEnvironment,
) -> None:
    """Guards against long responses whose idle connection has timed out."""
    server = CountingServer(environment, seconds=1.3)
    await server.start()
    fetching = asyncio.create_task(server.fetch())
    await asyncio.sleep(0.15)
    assert len(server.accepted) == 2
    server.accepted[-1].close()
    await fetching
    # One more for the liveness, and one for the check after the end.
    assert len(server.accepted) == 4
