"""Servers that write bytes of one answer inside another one."""

import asyncio
from collections import Counter

import pytest

from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    RouterEnvironment,
    complete_response,
    event,
    stream_head,
)

WHOLE = b''.join(map(event, range(1, 9)))
HALF = event(1) + event(2)
KINDS = ['inside', 'instead of the rest', 'again from the start', 'at the end']
PATHS = ['/read/', '/order/', '/stream/', '/resume/']


def unframed_head(request: ReceivedRequest) -> bytes:
    """Return the head of an answer that ends with its connection."""
    return stream_head(request).replace(b'Transfer-Encoding: chunked\r\n', b'')


def mixed_answer(kind: str, request: ReceivedRequest, earlier: bytes) -> bytes:
    """Return an answer with bytes of another one.

    Args:
        kind: Where the other bytes stand.
        request: Request that is answered.
        earlier: Answer to an earlier request on the connection.
    """
    own = complete_response(request, WHOLE)
    head = own.removesuffix(WHOLE)
    if kind == 'inside':
        return head + HALF + earlier + WHOLE.removeprefix(HALF)
    if kind == 'instead of the rest':
        return head + HALF + earlier
    if kind == 'again from the start':
        return head + HALF + own
    return unframed_head(request) + WHOLE + earlier


async def add_mixing_server(
    environment: RouterEnvironment, kind: str, packet_bytes: int
) -> None:
    """Add a server whose first answer on a connection is sound."""
    answered: dict[asyncio.StreamWriter, bytes] = {}

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if writer not in answered:
            answered[writer] = complete_response(request, WHOLE)
            writer.write(answered[writer])
            await writer.drain()
            return
        answer = mixed_answer(kind, request, answered[writer])
        for start in range(0, len(answer), packet_bytes):
            writer.write(answer[start : start + packet_bytes])
            await asyncio.sleep(0)
        if kind == 'at the end':
            writer.close()

    await environment.add_server(respond)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('packet_bytes', [7, 10_000])
async def test_answer_with_bytes_of_another_one_is_not_a_success(
    environment: RouterEnvironment, kind: str, path: str, packet_bytes: int
) -> None:
    """Guards against a success that holds the answer to another request.

    A server whose tasks write to one connection at the same time puts the
    second copy of an answer into the next one, or fills up one that it had
    broken off. The length of the body then says that it is complete.
    """
    await add_mixing_server(environment, kind, packet_bytes)
    await environment.ready(1)
    for request_id in ('sound', 'mixed'):
        caller = await environment.connect()
        response = await caller.fetch(path, request_id=request_id)
        if response.status == 200 and response.is_complete:
            assert response.body == WHOLE
        assert b'HTTP/1.1' not in response.body


@pytest.mark.parametrize('path', ['/read/', '/order/'])
@pytest.mark.parametrize('missing_bytes', [1, 4, 11, 13, 30, 60])
@pytest.mark.parametrize('packet_bytes', [7, 10_000])
async def test_answer_filled_up_with_the_start_of_a_head_is_not_a_success(
    environment: RouterEnvironment,
    path: str,
    missing_bytes: int,
    packet_bytes: int,
) -> None:
    """Guards against a success whose last bytes are those of another answer.

    A server breaks off near the end of an answer, and the next one follows.
    Only whole heads were found in a body.
    """
    answers: list[bytes] = []

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        answers.append(complete_response(request, WHOLE))
        written = answers[-1]
        if len(answers) > 1:
            written = answers[-1][:-missing_bytes] + answers[0]
        for start in range(0, len(written), packet_bytes):
            writer.write(written[start : start + packet_bytes])
            await asyncio.sleep(0)

    await environment.add_server(respond)
    await environment.ready(1)
    caller = await environment.connect()
    assert (await caller.fetch(path, request_id='sound')).body == WHOLE
    response = await caller.fetch(path, request_id='cut')
    assert response.status == 502


@pytest.mark.parametrize('path', ['/read/', '/order/'])
@pytest.mark.parametrize(
    ('end', 'behind'),
    [
        (b'HTTP/1.1 200 OK', b''),
        (b'HTTP/1.1 200 OK\r\nX-Pollenloom-', b''),
        (b'', b'\x00 no response\r\n'),
        (b'', b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
        (b'half', b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
    ],
)
async def test_sound_answer_that_looks_like_a_cut_one_is_served(
    environment: RouterEnvironment, path: str, end: bytes, behind: bytes
) -> None:
    """Guards against failing a sound answer for its text or what follows it."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(complete_response(request, WHOLE + end) + behind)
        await writer.drain()

    await environment.add_server(respond)
    await environment.ready(1)
    caller = await environment.connect()
    response = await caller.fetch(path, request_id='sound')
    assert (response.status, response.body) == (200, WHOLE + end)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('has_own_id', [True, False])
async def test_head_with_lines_of_another_one_is_not_a_success(
    environment: RouterEnvironment, path: str, has_own_id: bool
) -> None:
    """Guards against the answer to another request below one's own id.

    A server breaks off within a head, and the copy of an earlier answer follows
    on the connection. The lines of both heads are read as one.
    """
    earlier: list[bytes] = []

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not earlier:
            earlier.append(complete_response(request, WHOLE))
            writer.write(earlier[0])
            await writer.drain()
            return
        lines = stream_head(request).splitlines(keepends=True)
        start = b''.join(lines[: 2 if has_own_id else 1])
        writer.write(start + b'Content-Type: text/' + earlier[0])
        await writer.drain()

    await environment.add_server(respond)
    await environment.ready(1)
    for request_id in ('sound', 'merged'):
        caller = await environment.connect()
        response = await caller.fetch(path, request_id=request_id)
    assert response.status in {502, 504}


async def add_stuttering_server(
    environment: RouterEnvironment,
    delay: float,
    connections: Counter[asyncio.StreamWriter],
) -> None:
    """Add a server that writes its first answer twice."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        connections[writer] += 1
        answer = complete_response(request)
        writer.write(answer)
        if connections.total() == 1:
            await asyncio.sleep(delay)
            writer.write(answer)
        await writer.drain()

    await environment.add_server(respond)


@pytest.mark.parametrize('delay', [0, 0.05])
async def test_connections_to_a_server_that_answers_twice_are_not_kept(
    environment: RouterEnvironment, delay: float
) -> None:
    """Guards against second answers that meet the next request.

    What a server writes late can only be mixed with another answer on a
    connection that is used again.
    """
    connections: Counter[asyncio.StreamWriter] = Counter()
    await add_stuttering_server(environment, delay, connections)
    await environment.ready(1)
    for number in range(4):
        caller = await environment.connect()
        response = await caller.fetch('/order/', request_id=f'order-{number}')
        assert response.status == 200
        await asyncio.sleep(2 * delay)
    assert max(connections.values()) == 1


async def test_connections_to_other_servers_are_kept(
    environment: RouterEnvironment,
) -> None:
    """Guards against a new connection for each request to sound servers."""
    connections: Counter[asyncio.StreamWriter] = Counter()

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        connections[writer] += 1
        writer.write(complete_response(request))
        await writer.drain()

    await environment.add_server(respond)
    await environment.ready(1)
    for number in range(4):
        caller = await environment.connect()
        await caller.fetch('/order/', request_id=f'order-{number}')
    assert len(connections) == 1
