"""Backend servers that send bytes without end until the caller closes."""

import asyncio
import time
from contextlib import ExitStack

import pytest

from pollenloom.gateway.event_splitter import MAX_EVENT_BYTES
from pollenloom.gateway.expected_response import MAX_OVERHEAD_BYTES
from pollenloom.gateway.response_body import MAX_BODY_BYTES
from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
)
from tests.gateway.conftest import (
    RouterEnvironment,
    Script,
    complete_response,
    stream_head,
)

PIECE = b'x' * 16_384
# What a server may send before it is closed, besides the limit of the router:
# buffers of both sockets and pieces that are on their way.
BUFFERED_BYTES = 8_000_000
# Part of the 1.5 s that the routes of the tests allow.
PROMPT_SECONDS = 1.0
OTHER_HEAD = b'HTTP/1.1 200 OK\r\nX-Pollenloom-Attempt-Id: other\r\n\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
REJECTION_HEAD = (
    b'HTTP/1.1 503 Busy\r\nX-Pollenloom-Not-Executed: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
SEALED_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Pollenloom-Response-Seal: seal\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nX-Pollenloom-Response-Seal: seal\r\n\r\n'
LONG_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Pollenloom-Response-Seal: seal\r\n'
    b'Content-Length: 999999999999\r\n\r\n'
)
LAST_CHUNK_HEAD = SEALED_HEAD + b'4\r\ndone\r\n0\r\n'
CHUNK = b'%x\r\n%b\r\n' % (len(PIECE), PIECE)


class EndlessServer:
    """Sends a start, then the same bytes until the connection is closed."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self.start = start
        self.repeated = repeated
        self.sent_bytes = 0
        self.is_closed = asyncio.Event()

    async def respond(
        self, _request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send until the router closes."""
        with ExitStack() as stack:
            stack.callback(self.is_closed.set)
            writer.write(self.start)
            while not writer.is_closing():
                writer.write(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()


async def respond(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond as a sound server does."""
    writer.write(complete_response(request))
    await writer.drain()


async def serve(
    environment: RouterEnvironment, script: Script
) -> ScriptedBackend:
    """Register a server and wait until the router knows it."""
    server = await environment.add_server(script)
    await environment.ready(len(environment.servers))
    return server


@pytest.fixture
async def environment(
    environment: RouterEnvironment,
) -> RouterEnvironment:
    """A router with one sound server besides the endless one."""
    await serve(environment, respond)
    return environment


ENDLESS = {
    'head': (b'HTTP/1.1 200 OK\r\nX-Long: ', PIECE, MAX_OVERHEAD_BYTES),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n', MAX_OVERHEAD_BYTES),
    'no response': (b'', PIECE, MAX_OVERHEAD_BYTES),
    'interim responses': (b'', INTERIM, MAX_OVERHEAD_BYTES),
    'other response': (OTHER_HEAD, PIECE, MAX_OVERHEAD_BYTES),
    'body': (SEALED_HEAD, CHUNK, MAX_BODY_BYTES),
    'unframed body': (UNFRAMED_HEAD, PIECE, MAX_BODY_BYTES),
    'long body': (LONG_HEAD, PIECE, MAX_BODY_BYTES),
    'trailers': (LAST_CHUNK_HEAD, b'X-A: b\r\n', MAX_OVERHEAD_BYTES),
    'long trailer': (LAST_CHUNK_HEAD + b'X-A: ', PIECE, MAX_OVERHEAD_BYTES),
    'chunk extension': (SEALED_HEAD + b'1;a=', PIECE, MAX_OVERHEAD_BYTES),
    'chunk size': (SEALED_HEAD, b'0' * 16_384, MAX_OVERHEAD_BYTES),
    'rejection': (REJECTION_HEAD, CHUNK, MAX_BODY_BYTES),
}


@pytest.mark.parametrize('kind', ENDLESS)
async def test_endless_response_is_closed_and_the_request_served(
    environment: RouterEnvironment, kind: str
) -> None:
    """Guards against memory and time lost to bytes without end."""
    start, repeated, limit = ENDLESS[kind]
    endless = EndlessServer(start, repeated)
    await serve(environment, endless.respond)
    caller = await environment.connect()
    began = time.monotonic()
    statuses = set()
    for number in range(20):
        response = await caller.fetch(
            '/read/x', request_id=f'a{number}', method='GET'
        )
        statuses.add(response.status)
        if endless.sent_bytes:
            break
    assert endless.sent_bytes
    async with asyncio.timeout(PROMPT_SECONDS):
        await endless.is_closed.wait()
    assert statuses == {200}
    assert time.monotonic() - began < PROMPT_SECONDS
    assert endless.sent_bytes < limit + BUFFERED_BYTES


async def test_endless_event_ends_its_stream(
    environment: RouterEnvironment,
) -> None:
    """Guards against an event that fills the memory of the router."""
    endless = EndlessServer(b'', CHUNK)

    async def stream(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        endless.start = stream_head(request)
        await endless.respond(request, writer)

    await environment.servers[0].stop()
    environment.servers[0].script = stream
    await serve(environment, stream)
    caller = await environment.connect()
    began = time.monotonic()
    await caller.send('/stream/x')
    async with asyncio.timeout(PROMPT_SECONDS):
        await endless.is_closed.wait()
    assert time.monotonic() - began < PROMPT_SECONDS
    assert endless.sent_bytes < MAX_EVENT_BYTES + BUFFERED_BYTES
