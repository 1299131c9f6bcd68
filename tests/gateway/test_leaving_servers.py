"""Servers that say in their responses that they leave.

Guards against requests to a server that stops soon, by a router that cannot
read the server's entry. The last of them was cut off without an answer.
"""

import asyncio

import pytest

from pollenloom_standins.worker.responses import chunk, sealed_response
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import RouterEnvironment, event, stream_head

REQUESTS = 8
LEAVING = b'Server-Leaving: 1\r\n'


class LeavingServer:
    """Server that says in its responses whether it leaves."""

    def __init__(self) -> None:
        self.notice = b''
        self.status = '200 OK'

    async def respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Respond with the notice in the head."""
        request_id = request.headers['x-pollenloom-attempt-id']
        if '/stream/' in request.start_line:
            head = stream_head(request)
            writer.write(head.replace(b'\r\n', b'\r\n' + self.notice, 1))
            writer.write(chunk(event(1)) + chunk(b''))
        else:
            response = sealed_response(request_id, b'done', extra=self.notice)
            writer.write(response.replace(b'200 OK', self.status.encode(), 1))
        await writer.drain()


@pytest.fixture
def server() -> LeavingServer:
    """The server that leaves."""
    return LeavingServer()


async def count_requests(environment: RouterEnvironment, path: str) -> int:
    """Send requests in order; return how many reached the first server."""
    caller = await environment.connect()
    before = len(environment.servers[0].requests)
    for number in range(REQUESTS):
        await caller.fetch(path, request_id=f'{path}-{number}')
    return len(environment.servers[0].requests) - before


@pytest.mark.parametrize('path', ['/read/x', '/order/x', '/stream/x'])
@pytest.mark.parametrize('is_store_down', [False, True])
async def test_server_that_says_it_leaves_gets_no_more_requests(
    environment: RouterEnvironment,
    server: LeavingServer,
    path: str,
    is_store_down: bool,
) -> None:
    await environment.add_server(server.respond)
    await environment.ready(1)
    assert await count_requests(environment, path) == REQUESTS
    environment.store.is_down = is_store_down
    server.notice = LEAVING
    assert await count_requests(environment, path) == 1
    if not is_store_down:
        # The heartbeat of a leaving server may still carry the old state.
        await environment.register(environment.servers[0], seq=7)
        await asyncio.sleep(0.7)
    assert not await count_requests(environment, path)


@pytest.mark.parametrize(
    ('status', 'is_used'),
    [
        ('500 Internal Server Error', False),
        ('421 Misdirected Request', True),
    ],
)
async def test_notice_counts_unless_another_server_answered(
    environment: RouterEnvironment,
    server: LeavingServer,
    status: str,
    is_used: bool,
) -> None:
    # After 421 the notice is of the server that took over the address.
    await environment.add_server(server.respond)
    await environment.ready(1)
    server.notice = LEAVING
    server.status = status
    await count_requests(environment, '/order/x')
    catalogue = environment.gateway.catalogue
    server_state = catalogue.directory.servers.values()
    assert [known.has_said_leaving for known in server_state] == [not is_used]


@pytest.mark.parametrize('notice', [b'0', b'', b'yes', b'1' * 400])
async def test_other_notices_are_ignored(
    environment: RouterEnvironment, server: LeavingServer, notice: bytes
) -> None:
    await environment.add_server(server.respond)
    await environment.ready(1)
    server.notice = b'Server-Leaving: %b\r\n' % notice
    assert await count_requests(environment, '/order/x') == REQUESTS
