"""Callers that read slowly."""

import asyncio
from unittest.mock import create_autospec

import msgspec
from aiohttp import web

from pollenloom.frontend.caller_protocol import CallerProtocol
from tests.fakes.caller_router import CallerRouter
from tests.fakes.fixed_configuration import KEY, MODEL

EVENT = b'data: %b\n\n' % (b'x' * 65_536)
EVENTS = 1024
# The buffers of three sockets and of the router hold less than half.
MAX_BUFFERED_EVENTS = EVENTS // 2
POLL_SECONDS = 0.2


async def test_slow_caller_slows_the_server(router: CallerRouter) -> None:
    """Guards against a router that buffers what a caller does not read.

    The backend server must be slowed instead (back pressure).
    """
    written = 0

    async def flood(request: web.Request) -> web.StreamResponse:
        nonlocal written
        response = web.StreamResponse(
            headers={
                'X-Request-Id': request.headers['X-Request-Id'],
                'Content-Type': 'text/event-stream',
            },
        )
        await response.prepare(request)
        for _ in range(EVENTS):
            await response.write(EVENT)
            written += 1
        return response

    backend = router.backends[0]
    backend.script.append(flood)
    host, _, port = router.url.removeprefix('http://').partition(':')
    reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
    body = msgspec.json.encode(
        {
            'model': MODEL,
            'stream': True,
            'messages': [{'role': 'user', 'content': 'Weight of a striker?'}],
        },
    )
    writer.write(
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n'
        b'Authorization: Bearer %b\r\nContent-Length: %d\r\n\r\n%b'
        % (KEY.encode(), len(body), body),
    )
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    previous = -1
    while written != previous:
        previous = written
        await asyncio.sleep(POLL_SECONDS)
    assert 0 < written < MAX_BUFFERED_EVENTS
    writer.transport.abort()
    await asyncio.wait_for(backend.disconnected.wait(), 30)


async def test_data_before_the_connection_task_starts(
    router: CallerRouter,
) -> None:
    """Guards against a connection closed because its data arrived early.

    The data arrives before the task of the connection has run.
    """
    loop = asyncio.get_running_loop()
    protocol = CallerProtocol(loop=loop, app=router.callers.app)
    transport = create_autospec(asyncio.Transport, instance=True)
    protocol.connection_made(transport)
    protocol.data_received(b'GET /healthz HTTP/1.1\r\n')
    transport.close.assert_not_called()
    task = protocol._task
    protocol.connection_lost(None)  # type: ignore[no-untyped-call]
    assert task is not None
    await asyncio.wait([task])
