"""Tests of the relay."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
import pytest

from pollenloom_standins.commands.relay_command import RelayCommand

CUT_SOURCE = '127.0.0.2'
CUT = {'source': CUT_SOURCE, 'forward': 'drop', 'backward': 'drop'}
RECEIVE_TIMEOUT_SECONDS = 10
IDLE_SECONDS = 0.2
DELAY_SECONDS = 0.2


@dataclass
class Link:
    """A connection through the relay to a server that echoes lines."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, line: bytes) -> None:
        self.writer.write(line + b'\n')

    async def receive(self) -> bytes:
        async with asyncio.timeout(RECEIVE_TIMEOUT_SECONDS):
            return (await self.reader.readline()).rstrip()

    async def exchange(self, line: bytes) -> bytes:
        self.send(line)
        return await self.receive()

    async def is_idle(self) -> bool:
        """Whether neither bytes nor the end of the stream arrive in a while."""
        try:
            async with asyncio.timeout(IDLE_SECONDS):
                await self.reader.readline()
        except TimeoutError:
            return True
        return False


@dataclass
class Network:
    """A relay in front of an echo server.

    Attributes:
        address: Address on which the relay forwards connections.
        control: Address of the relay's control calls.
        session: Client for control calls.
        received: Lines that the echo server received.
        callers: IP addresses of its callers.
    """

    address: str
    control: str
    session: aiohttp.ClientSession
    received: list[bytes]
    callers: list[str]

    async def connect(self, source: str = CUT_SOURCE) -> Link:
        host, port = self.address.split(':')
        pair = await asyncio.open_connection(
            host,
            int(port),
            local_addr=(source, 0),
        )
        return Link(*pair)

    async def set_rules(self, *rules: Mapping[str, object]) -> None:
        url = f'http://{self.control}/control/links'
        async with self.session.put(url, json={'links': rules}) as response:
            assert response.status == 200


@pytest.fixture
async def network() -> AsyncIterator[Network]:
    received: list[bytes] = []
    callers: list[str] = []

    async def echo(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        callers.append(writer.get_extra_info('peername')[0])
        async for line in reader:
            received.append(line.rstrip())
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    kernel, relay, listener = RelayCommand(f'127.0.0.1:{port}').build()
    await kernel.start()
    async with aiohttp.ClientSession() as session:
        yield Network(
            relay.address,
            listener.address,
            session,
            received,
            callers,
        )
    await kernel.stop()
    server.close()


async def test_cut_link_stays_open_without_data(network: Network) -> None:
    """Guards against partitions that routers detect by a closed connection.

    Connections of other sources must not be affected.
    """
    cut, other = await network.connect(), await network.connect('127.0.0.3')
    assert await cut.exchange(b'before') == b'before'
    await network.set_rules(CUT)
    cut.send(b'lost')
    assert await cut.is_idle()
    assert await other.exchange(b'other') == b'other'
    assert network.received == [b'before', b'other']
    assert set(network.callers) == {CUT_SOURCE, '127.0.0.3'}


async def test_restored_link_resets_streams_with_lost_bytes(
    network: Network,
) -> None:
    """Guards against a stream that continues after lost bytes.

    Connections that lost nothing have to stay usable.
    """
    used, idle = await network.connect(), await network.connect()
    await used.exchange(b'used')
    await idle.exchange(b'idle')
    await network.set_rules(CUT)
    used.send(b'lost')
    assert await used.is_idle()
    await network.set_rules()
    with pytest.raises(ConnectionError):
        await used.receive()
    assert await idle.exchange(b'again') == b'again'


async def test_cut_link_forwards_no_new_connection(network: Network) -> None:
    """Guards against a partition that does not affect new connections."""
    await network.set_rules(CUT)
    link = await network.connect()
    link.send(b'lost')
    assert await link.is_idle()
    await network.set_rules()
    assert await link.receive() == b''
    assert network.received == []


async def test_one_way_cut_passes_the_other_direction(network: Network) -> None:
    """Guards against one-way partitions that cut both directions."""
    link = await network.connect()
    await link.exchange(b'before')
    await network.set_rules({'source': CUT_SOURCE, 'backward': 'drop'})
    link.send(b'heard')
    assert await link.is_idle()
    assert network.received == [b'before', b'heard']


async def test_held_bytes_arrive_later(network: Network) -> None:
    """Guards against short partitions that lose bytes TCP would resend."""
    link = await network.connect()
    await link.exchange(b'before')
    await network.set_rules({'source': '*', 'forward': 'hold'})
    link.send(b'held')
    assert await link.is_idle()
    await network.set_rules()
    assert await link.receive() == b'held'


async def test_delay_applies_in_both_directions(network: Network) -> None:
    """Guards against a delay that is not applied in both directions.

    All lines have to arrive in order.
    """
    link = await network.connect()
    await network.set_rules({'source': '*', 'delay_seconds': DELAY_SECONDS})
    loop = asyncio.get_running_loop()
    started = loop.time()
    for number in range(20):
        link.send(str(number).encode())
    lines = [await link.receive() for _ in range(20)]
    assert lines == [str(number).encode() for number in range(20)]
    # The loop counts whole milliseconds, whose difference may be rounded.
    elapsed_ms = round((loop.time() - started) * 1000)
    assert elapsed_ms >= round(2 * DELAY_SECONDS * 1000)
