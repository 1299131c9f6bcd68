"""Memory of a process that many servers send endless responses to.

Guards against a router that runs out of memory, with the requests of all
callers. Limits on single responses do not bound their sum.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from pathlib import Path
from types import MappingProxyType

import msgspec
import pytest

from pollenloom.core.host_port import split_address
from pollenloom.gateway.response_buffers import ResponseBuffers, ResponseHolder
from pollenloom_standins.node_soak.soak_node import SoakNode
from pollenloom_standins.worker.responses import (
    chunk,
    sealed_response,
    server_entry,
)
from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
)
from tests.fakes.router_fixtures import open_store
from tests.gateway.conftest import (
    CallerConnection,
    Script,
    complete_response,
    make_configuration,
    make_route,
)

CALLERS = 50
SOUND_REQUESTS = 60
PIECE = b'x' * 65_536
# Endless responses in short parts at the same time: each costs the router as
# much processor time as hundreds of sound requests.
SHORT_PART_CALLERS = 2
# Machines have 150 MB and more.
MAX_PEAK_MEGABYTES = 150
KILOBYTES_PER_MEGABYTE = 1024
# Below the limit on a single body, and far above that on all together.
LONG_BODY_BYTES = 6_000_000
SERVERS = MappingProxyType(
    {'i-1': 'app', 'i-2': 'app', 'i-3': 'sound', 'i-4': 'sound'}
)
# Long enough for a whole body of the largest size in parts of one byte.
TIMEOUT_MS = 6000
# A body may end at its limit rather than go on until the time is up.
ENDED = frozenset((502, 503, 504))


class HeldResponse(ResponseHolder):
    """Response of a test."""

    def __init__(self) -> None:
        self.discarded: list[int] = []

    def discard_response(self) -> None:
        """Record that the response was ended."""
        self.discarded.append(self.held_bytes)


def test_largest_response_is_ended_first() -> None:
    buffers = ResponseBuffers(max_bytes=100)
    small, large = HeldResponse(), HeldResponse()
    buffers.add(small, 10)
    buffers.add(large, 90)
    assert large.discarded == []
    buffers.add(small, 1)
    assert len(large.discarded) == 1
    assert not small.discarded
    assert buffers.held_bytes == 11
    buffers.release(small, 50)
    assert (buffers.held_bytes, buffers.holders) == (0, set())


def test_passed_on_bytes_do_not_count() -> None:
    buffers = ResponseBuffers(max_bytes=100)
    stream = HeldResponse()
    for _ in range(50):
        buffers.add(stream, 80)
        buffers.release(stream, 80)
    assert not stream.discarded


async def send_endless(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the bytes of the kind in the path until the router closes.

    The path ends with the bytes of a chunk.
    """
    if '/sound/' in request.start_line:
        writer.write(complete_response(request))
        await writer.drain()
        return
    request_id = request.headers['x-pollenloom-attempt-id']
    part_bytes = int(request.start_line.split()[1].rpartition('/')[2])
    chunks = chunk(b'x' * part_bytes) * (len(PIECE) // part_bytes)
    head = (
        f'HTTP/1.1 200 OK\r\nX-Pollenloom-Attempt-Id: {request_id}\r\n'
        'X-Pollenloom-Response-Seal: seal\r\n'
    ).encode()
    if '/head/' in request.start_line:
        start, repeated = head + b'X-Long: ', PIECE
    else:
        start, repeated = head + b'Transfer-Encoding: chunked\r\n\r\n', chunks
    writer.write(start)
    while not writer.is_closing():
        writer.write(repeated)
        await writer.drain()


async def send_long(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a sound response with a long body, or a short one."""
    if '/sound/' in request.start_line:
        writer.write(complete_response(request))
    else:
        request_id = request.headers['x-pollenloom-attempt-id']
        writer.write(sealed_response(request_id, b'x' * LONG_BODY_BYTES))
    await writer.drain()


class RouterProcess:
    """A router in a process of its own, with its servers."""

    def __init__(self, node: SoakNode, stack: AsyncExitStack) -> None:
        self.node = node
        self.stack = stack

    async def connect(self) -> CallerConnection:
        """Open a connection as a caller."""
        address = split_address(self.node.callers)
        reader, writer = await asyncio.open_connection(*address)
        self.stack.callback(writer.close)
        return CallerConnection(reader, writer)

    async def fetch(self, path: str, request_id: str) -> int:
        """Send a request on a new connection; return its status, or 0."""
        caller = await self.connect()
        try:
            response = await caller.fetch(path, request_id=request_id)
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0
        return response.status if response.is_complete else 0

    def peak_megabytes(self) -> float:
        """Return the largest resident memory of the process so far."""
        process = self.node.process
        assert process is not None
        status = Path(f'/proc/{process.pid}/status').read_text('utf-8')
        line = next(
            line for line in status.splitlines() if line.startswith('VmHWM')
        )
        return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE


@pytest.fixture
async def stack() -> AsyncIterator[AsyncExitStack]:
    """Stops what a test starts."""
    async with AsyncExitStack() as exit_stack:
        yield exit_stack


async def start_router(
    stack: AsyncExitStack,
    directory: Path,
    script: Script,
    timeout_ms: int = 1500,
) -> RouterProcess:
    """Start a router with two servers of each service."""
    store, address = await open_store(stack)
    configuration = make_configuration()
    configuration['routes'] = [
        make_route('idempotent', '/body/', name='r-1', timeout_ms=timeout_ms),
        make_route(
            'non_idempotent', '/order/', name='r-2', timeout_ms=timeout_ms
        ),
        make_route('streaming', '/event/', name='r-3'),
        make_route('idempotent', '/head/', name='r-4'),
        make_route('idempotent', '/sound/', name='r-5', service='sound'),
    ]
    configuration['services'] = [{'name': 'app'}, {'name': 'sound'}]
    payload = msgspec.json.encode(configuration)
    await store.write('keyed.op', 'config', payload)
    for server_id, service in SERVERS.items():
        server = ScriptedBackend(script)
        await server.start()
        stack.push_async_callback(server.stop)
        entry = server_entry(server.address, service=service, slots=500)
        await store.write('keyed.servers', server_id, entry)
    node = SoakNode('n1', 'enschede', address, directory)
    await node.start()
    stack.push_async_callback(node.kill)
    await node.wait_until_ready()
    return RouterProcess(node, stack)


@pytest.mark.parametrize('kind', ['body', 'order', 'event', 'head'])
async def test_endless_responses_leave_memory_and_other_callers_alone(
    stack: AsyncExitStack, tmp_path: Path, kind: str
) -> None:
    router = await start_router(stack, tmp_path, send_endless)
    endless = [
        asyncio.create_task(
            router.fetch(f'/{kind}/{len(PIECE)}', f'endless-{number}')
        )
        for number in range(CALLERS)
    ]
    statuses = [
        await router.fetch('/sound/x', f'sound-{number}')
        for number in range(SOUND_REQUESTS)
    ]
    ended = await asyncio.gather(*endless)
    assert router.peak_megabytes() < MAX_PEAK_MEGABYTES
    assert set(statuses) == {200}
    assert set(ended) <= ENDED
    assert router.node.is_running


@pytest.mark.parametrize('part_bytes', [1, 2, 9, 100])
@pytest.mark.parametrize('kind', ['body', 'order', 'event'])
async def test_endless_short_parts_leave_memory_and_other_callers_alone(
    stack: AsyncExitStack, tmp_path: Path, kind: str, part_bytes: int
) -> None:
    """Guards against limits that count bytes but not the objects they are in.

    One body in chunks of two bytes took over 150 MB, and one event in short
    chunks stopped the router for more than 15 s.
    """
    router = await start_router(stack, tmp_path, send_endless, TIMEOUT_MS)
    endless = [
        asyncio.create_task(
            router.fetch(f'/{kind}/{part_bytes}', f'endless-{number}')
        )
        for number in range(SHORT_PART_CALLERS)
    ]
    statuses = [
        await router.fetch('/sound/x', f'sound-{number}')
        for number in range(SOUND_REQUESTS)
    ]
    ended = await asyncio.gather(*endless)
    assert router.peak_megabytes() < MAX_PEAK_MEGABYTES
    assert set(statuses) == {200}
    assert set(ended) <= ENDED
    assert router.node.is_running


async def test_slow_callers_of_long_responses_leave_memory_alone(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    # Whole bodies wait in memory for callers that read nothing.
    router = await start_router(stack, tmp_path, send_long)
    for slow in range(CALLERS):
        caller = await router.connect()
        await caller.send('/body/x', request_id=f'slow-{slow}')
    statuses = [
        await router.fetch('/sound/x', f'sound-{number}')
        for number in range(SOUND_REQUESTS)
    ]
    await asyncio.sleep(1)
    assert router.peak_megabytes() < MAX_PEAK_MEGABYTES
    assert set(statuses) == {200}
