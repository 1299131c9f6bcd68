"""Responses and requests whose bytes arrive in very short parts."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any

import pytest

from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.response_queue import ResponseQueue
from pollenloom.gateway.server_channel import (
    ServerChannel,
)
from pollenloom.gateway.server_event import ServerEvent
from pollenloom_standins.worker.responses import LAST_CHUNK, chunk
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    HOST,
    KEY,
    RouterEnvironment,
    complete_response,
    make_configuration,
    stream_head,
)

WRITE_BYTES = 65_536
READ_BYTES = 262_144
# A long read may follow one that is just not long.
MAX_TURN_BYTES = 65_536 + READ_BYTES
# The head, the parts that have arrived, and the end of a response.
MAX_TURN_EVENTS = 3
BODY_BYTES = 524_288
UPLOADS = {
    **make_configuration(2),
    'limits': {'max_body_bytes': BODY_BYTES, 'max_header_bytes': 16_384},
}


class Turns:
    """Counts what happens within one turn of the event loop.

    Attributes:
        turn: Number of the present turn.
        amounts: Sum of what was counted for a method and its object in a turn.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monkeypatch = monkeypatch
        self.turn = 0
        self.amounts: Counter[tuple[int, str, int]] = Counter()

    async def run(self) -> None:
        """Count the turns; each one is the turn of another task."""
        while True:
            await asyncio.sleep(0)
            self.turn += 1

    def count_events(self) -> None:
        """Count the events that the tasks of requests take."""
        original = ResponseQueue.take

        async def take(queue: ResponseQueue) -> ServerEvent:
            taken = await original(queue)
            self.amounts[self.turn, 'take', id(queue)] += 1
            return taken

        self.monkeypatch.setattr(ResponseQueue, 'take', take)

    def count_bytes(self, channel_class: Any) -> None:
        """Count the bytes that connections of a class receive."""
        original = channel_class.data_received

        def data_received(channel: object, received: bytes) -> None:
            self.amounts[self.turn, 'receive', id(channel)] += len(received)
            original(channel, received)

        self.monkeypatch.setattr(channel_class, 'data_received', data_received)

    def largest(self, method: str) -> int:
        """Return the largest amount of one object in one turn."""
        return max(
            amount for key, amount in self.amounts.items() if key[1] == method
        )


@pytest.fixture
async def turns(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Turns]:
    """Turns of the event loop of the test."""
    counted = Turns(monkeypatch)
    task = asyncio.create_task(counted.run())
    yield counted
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


@pytest.mark.parametrize('size', [1, 2, 9, 100, 1000])
@pytest.mark.parametrize('end', [b'', b'\n\n'])
async def test_short_parts_of_a_stream_leave_turns_to_other_tasks(
    environment: RouterEnvironment, turns: Turns, size: int, end: bytes
) -> None:
    """Guards against a server that stops the router for all its callers.

    One task took thousands of parts in a turn, while other requests, the status
    check and signals waited. The parts are those of an event without end, or an
    event each.
    """
    part = chunk(b'x' * size + end)
    written = part * (WRITE_BYTES // len(part))

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if '/read/' in request.start_line:
            writer.write(complete_response(request))
            await writer.drain()
            return
        writer.write(stream_head(request))
        while not writer.is_closing():
            writer.write(written)
            await writer.drain()

    await environment.add_server(respond)
    await environment.ready(1)
    turns.count_events()
    turns.count_bytes(ServerChannel)
    streaming, other = await environment.connect(), await environment.connect()
    await streaming.send('/stream/x')
    reading = asyncio.create_task(streaming.reader.read())
    for number in range(10):
        response = await other.fetch(
            '/read/x', request_id=f'b{number}', method='GET'
        )
        assert response.status == 200
    reading.cancel()
    assert turns.largest('take') <= MAX_TURN_EVENTS
    assert turns.largest('receive') <= MAX_TURN_BYTES


@pytest.mark.parametrize('size', [1, 100])
async def test_short_parts_of_an_upload_leave_turns_to_other_tasks(
    environment: RouterEnvironment, turns: Turns, size: int
) -> None:
    """Guards against a caller that stops the router for all others.

    The event loop makes up to 32 long reads from a connection in a turn.
    """

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(complete_response(request, request.body))
        await writer.drain()

    await environment.add_server(respond)
    await environment.configure(UPLOADS)
    await environment.wait_for(
        lambda: environment.gateway.limits().body_bytes == BODY_BYTES
    )
    await environment.ready(1)
    turns.count_bytes(CallerChannel)
    caller = await environment.connect()
    body = b'x' * BODY_BYTES
    head = (
        f'POST /read/x HTTP/1.1\r\nHost: {HOST}\r\napi-key: {KEY}\r\n'
        'X-Pollenloom-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    parts = chunk(b'x' * size) * (BODY_BYTES // size)
    caller.writer.write(head.encode() + parts + LAST_CHUNK)
    response = await caller.read()
    assert (response.status, len(response.body)) == (
        200,
        len(body) // size * size,
    )
    assert turns.largest('receive') <= MAX_TURN_BYTES
