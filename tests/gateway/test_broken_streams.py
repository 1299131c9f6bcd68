"""Streams that servers break off in different ways."""

import asyncio

import pytest

from pollenloom_standins.worker.responses import chunk
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    RouterEnvironment,
    complete_response,
    event,
    stream_head,
)

BROKEN_STREAM = chunk(event(1) + event(2) + b'id: 3\nda')
REJECTED = (
    b'HTTP/1.1 400 Bad\r\nX-Pollenloom-Not-Executed: 1\r\n'
    b'Content-Length: 5\r\n\r\nwrong'
)


def unframed_head(request: ReceivedRequest) -> bytes:
    """Return the head of a stream that ends with its connection."""
    head = stream_head(request)
    head = head.replace(b'Transfer-Encoding: chunked\r\n', b'')
    return head.replace(b'Content-Type: text/event-stream\r\n', b'')


def error_response(request: ReceivedRequest, status: bytes) -> bytes:
    """Return an error of a server that ran the request."""
    return complete_response(request, b'error').replace(b'200 OK', status)


def make_responses(request: ReceivedRequest) -> dict[str, bytes]:
    """Return responses that cannot continue a stream, by description."""
    return {
        'server error': error_response(request, b'500 Error'),
        'client error': error_response(request, b'404 Missing'),
        'redirect': error_response(request, b'302 Found'),
        'rejection': REJECTED,
        'no event stream': complete_response(request, b'{"done": true}'),
    }


@pytest.mark.parametrize(
    'kind',
    [
        'server error',
        'client error',
        'redirect',
        'rejection',
        'no event stream',
    ],
)
async def test_error_of_the_next_server_is_not_written_into_a_stream(
    environment: RouterEnvironment, kind: str
) -> None:
    """Guards against an error's head and text behind relayed events."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if 'last-event-id' in request.headers:
            writer.write(make_responses(request)[kind])
            await writer.drain()
            return
        writer.write(stream_head(request) + BROKEN_STREAM)
        await writer.drain()
        writer.close()

    for _ in range(2):
        await environment.add_server(respond)
    await environment.ready(2)
    caller = await environment.connect()
    response = await caller.fetch('/resume/')
    assert response.body == event(1) + event(2)
    assert not response.is_complete
    assert not await caller.reader.read()


@pytest.mark.parametrize(
    'content', [b'', b'id: 1', event(1) + b'id: 2\ndata: wo']
)
async def test_unframed_stream_that_ends_inside_an_event_is_incomplete(
    environment: RouterEnvironment, content: bytes
) -> None:
    """Guards against half a stream that looks complete.

    Only the end of the connection marks the end of the response, so a server
    that stops looks like one that is done.
    """

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(unframed_head(request) + content)
        await writer.drain()
        writer.close()

    await environment.add_server(respond)
    await environment.ready(1)
    response = await (await environment.connect()).fetch('/stream/')
    if content.startswith(event(1)):
        assert response.body == event(1)
        assert not response.is_complete
    else:
        assert response.status == 502


async def test_unframed_stream_continues_at_another_server(
    environment: RouterEnvironment,
) -> None:
    """Guards against a cut stream that is not resumed."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        first = int(request.headers.get('last-event-id', '0')) + 1
        if first == 1:
            content = event(1) + b'id: 2\nda'
        else:
            content = b''.join(map(event, range(first, 4)))
        writer.write(unframed_head(request) + content)
        await writer.drain()
        writer.close()

    for _ in range(2):
        await environment.add_server(respond)
    await environment.ready(2)
    response = await (await environment.connect()).fetch('/resume/')
    assert response.is_complete
    assert response.body == b''.join(map(event, range(1, 4)))


async def test_framed_stream_that_ends_inside_an_event_is_incomplete(
    environment: RouterEnvironment,
) -> None:
    """Guards against a part of an event that is relayed as the last one."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + BROKEN_STREAM + b'0\r\n\r\n')
        await writer.drain()

    await environment.add_server(respond)
    await environment.ready(1)
    response = await (await environment.connect()).fetch('/stream/')
    assert response.body == event(1) + event(2)
    assert not response.is_complete
