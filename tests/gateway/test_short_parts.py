"""Responses and requests whose bytes arrive in very short parts."""

import asyncio
import tracemalloc
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any

import pytest

from pollenloom.gateway.body_writing import write_message
from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.response_body import ResponseBody
from pollenloom.gateway.response_buffers import ResponseBuffers
from pollenloom.gateway.response_queue import ResponseQueue
from pollenloom.gateway.server_channel import (
    MAX_HEADER_LINES,
    ServerChannel,
)
from pollenloom.gateway.server_event import ChannelEnd, ServerEvent
from pollenloom.platform.platform_header_codec import PlatformHeaderCodec
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
# Objects of a channel, a parser and a coroutine.
OVERHEAD_BYTES = 16_384
UPLOADS = {
    **make_configuration(2),
    'limits': {'max_body_bytes': BODY_BYTES, 'max_header_bytes': 16_384},
}
HEAD = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n'


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


class OpenTransport:
    """A transport of an open connection."""

    def __init__(self) -> None:
        self.written: list[bytes | bytearray] = []
        self.is_aborted = False

    def is_closing(self) -> bool:
        """Whether the connection was aborted."""
        return self.is_aborted

    def is_reading(self) -> bool:
        """Return True; the tests feed the channel directly."""
        return True

    def pause_reading(self) -> None:
        """Do nothing."""

    def writelines(self, parts: tuple[bytes | bytearray, ...]) -> None:
        """Keep what is written."""
        self.written.extend(parts)

    def abort(self) -> None:
        """Record the abort."""
        self.is_aborted = True


def open_channel() -> ServerChannel:
    """Return a channel that has received the head of a chunked response."""
    channel = ServerChannel(b'x-id', ResponseBuffers())
    transport: Any = OpenTransport()
    channel.connection_made(transport)
    channel.expect_response(b'a1', is_head_request=False)
    return channel


@pytest.mark.parametrize('read_bytes', [2, 1500, READ_BYTES])
@pytest.mark.parametrize('size', [1, 2, 9, 100, 1000])
async def test_memory_of_a_body_does_not_depend_on_its_parts(
    size: int, read_bytes: int
) -> None:
    """Guards against a router that is killed for its memory.

    An object for each part of two bytes took 28 times the memory of the bytes.
    """
    parts = BODY_BYTES // 8 // size
    content = HEAD + chunk(b'x' * size) * parts + LAST_CHUNK
    channel = open_channel()
    body = ResponseBody(PlatformHeaderCodec())
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    ends = []
    for start in range(0, len(content), read_bytes):
        channel.data_received(content[start : start + read_bytes])
        while channel.queue.events:
            taken = await channel.next_event()
            if isinstance(taken, bytes):
                body.add(taken)
            elif isinstance(taken, ChannelEnd):
                ends.append(body.check_end(taken, has_bytes_behind=False))
    peak = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    assert body.content == b'x' * size * parts
    assert ends == [ChannelEnd.COMPLETE]
    # The body, its read, and one copy of each while it is passed on.
    read = min(read_bytes, len(content))
    assert peak <= 2 * (len(body.content) + read) + OVERHEAD_BYTES


@pytest.mark.parametrize('size', [1, 2, 9, 100, 1000])
def test_memory_of_queued_parts_does_not_depend_on_their_number(
    size: int,
) -> None:
    """Guards against a slow caller whose response takes the router's memory."""
    channel = open_channel()
    channel.data_received(HEAD)
    read = chunk(b'x' * size) * (1500 // size)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    while not channel.flow.is_blocked:
        channel.data_received(read)
    peak = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    assert peak <= 2 * MAX_TURN_BYTES
    assert len(channel.queue.events) == 2


@pytest.mark.parametrize(
    'start', [b'HTTP/1.1 200 OK\r\n', HEAD + b'1\r\nx\r\n0\r\n']
)
def test_short_lines_of_a_head_or_trailers_are_bounded(start: bytes) -> None:
    """Guards against objects of header lines that take 40 times their bytes."""
    channel = open_channel()
    read = start + b'a:\r\n' * (READ_BYTES // 4)
    tracemalloc.start()
    channel.data_received(read)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert channel.queue.events[-1] is ChannelEnd.TOO_LONG
    assert len(channel.headers) <= MAX_HEADER_LINES
    assert peak <= READ_BYTES


def test_complete_body_is_written_without_a_copy() -> None:
    """Guards against bodies that take several times their memory."""
    transport: Any = OpenTransport()
    body = bytearray(BODY_BYTES)
    write_message(transport, HEAD, body)
    assert transport.written[-1] is body
