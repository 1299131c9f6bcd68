"""Requests that crash the servers that run them, and come again."""

import asyncio
from dataclasses import dataclass, field

import pytest

from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
)
from tests.gateway.conftest import (
    CallerResponse,
    RouterEnvironment,
    complete_response,
)

SERVER_COUNT = 12
# Three crashes prove a request; the users allow three more that are sent
# later than the time in which routers learn of the third.
MAX_CRASHES = 6
REPEATS = 6
# Requests that come again have this time between them.
REPEAT_SECONDS = 2.2
CRASHING_BODY = b'crashes'


@dataclass
class CrashingServers:
    """Servers that end when they begin to run a request with a certain body.

    Attributes:
        backends: Servers, by address.
        crashed: Number of servers that have ended.
    """

    environment: RouterEnvironment
    backends: dict[str, ScriptedBackend] = field(default_factory=dict)
    crashed: int = 0

    async def start(self) -> None:
        """Start and register the servers."""
        for _ in range(SERVER_COUNT):
            backend = await self.environment.add_server(self.respond, slots=8)
            self.backends[backend.address] = backend
        await self.environment.ready(SERVER_COUNT)

    async def respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer, or end as a crashed process does."""
        if request.body == CRASHING_BODY:
            self.crashed += 1
            address = '{}:{}'.format(*writer.get_extra_info('sockname'))
            await asyncio.sleep(0.05)
            await self.backends[address].stop()
            writer.transport.abort()
            return
        writer.write(complete_response(request))
        await writer.drain()


@pytest.fixture
async def servers(environment: RouterEnvironment) -> CrashingServers:
    """Running servers behind a router."""
    crashing = CrashingServers(environment)
    await crashing.start()
    return crashing


async def ask(
    servers: CrashingServers, name: str, body: bytes, path: str
) -> CallerResponse:
    """Send one request on a connection of its own."""
    caller = await servers.environment.connect()
    return await caller.fetch(path, request_id=name, body=body)


@pytest.mark.parametrize('path', ['/read/stock', '/order/timber'])
async def test_request_that_crashes_servers_is_refused(
    servers: CrashingServers, path: str
) -> None:
    """Guards against one request that ends server after server.

    It has no prompt, so nothing but itself tells it from sound ones.
    """
    statuses = []
    for number in range(REPEATS):
        response = await ask(servers, f'bad{number}', CRASHING_BODY, path)
        statuses.append(response.status)
        served = await ask(servers, f'ok{number}', b'sound', path)
        assert served.status == 200
        await asyncio.sleep(REPEAT_SECONDS)
    assert servers.crashed <= MAX_CRASHES, statuses
    assert statuses[-1] == 400, statuses


async def test_sound_requests_in_crashes_are_served(
    servers: CrashingServers,
) -> None:
    """Guards against sound requests that are refused after crashes.

    The same request is answered between the crashes.
    """
    path = '/read/stock'
    for number in range(3):
        await ask(servers, f'bad{number}', CRASHING_BODY, path)
        for body in (b'', b'sound', b'crashes not'):
            served = await ask(servers, f'{number}{body!r}', body, path)
            assert served.status == 200
        await asyncio.sleep(REPEAT_SECONDS)
    other = await ask(servers, 'other', CRASHING_BODY[:-1], path)
    assert other.status == 200
