"""Failures of the relay."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
import pytest

from pollenloom_standins.commands.relay_command import RelayCommand

CUT_SOURCE = '127.0.0.2'
CUT = {'source': CUT_SOURCE, 'forward': 'drop', 'backward': 'drop'}
BOUND_SECONDS = 10
SILENCE_SECONDS = 0.2
DELAY_SECONDS = 0.2


@dataclass
class Link:
    """A connection through the relay to a server that echoes lines."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, line: bytes) -> None:
        self.writer.write(line + b'\n')

    async def receive(self) -> bytes:
        async with asyncio.timeout(BOUND_SECONDS):
            return (await self.reader.readline()).rstrip()

    async def exchange(self, line: bytes) -> bytes:
        self.send(line)
        return await self.receive()

    async def is_silent(self) -> bool:
        """Whether nothing, not even the end, comes for a while."""
        try:
            async with asyncio.timeout(SILENCE_SECONDS):
                await self.reader.readline()
        except TimeoutError:
            return True
        return False


@dataclass
class Network:
    """A relay before an echo server."""

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


async def test_cut_link_stays_open_and_silent(network: Network) -> None:
    """Guards against partitions that routers notice by a closed socket."""
    cut, other = await network.connect(), await network.connect('127.0.0.3')
    assert await cut.exchange(b'before') == b'before'
    await network.set_rules(CUT)
    cut.send(b'lost')
    assert await cut.is_silent()
    assert await other.exchange(b'other') == b'other'
    assert network.received == [b'before', b'other']
    assert set(network.callers) == {CUT_SOURCE, '127.0.0.3'}


async def test_healed_link_closes_streams_with_holes(network: Network) -> None:
    """Guards against a stream that goes on after lost bytes."""
    used, idle = await network.connect(), await network.connect()
    await used.exchange(b'used')
    await idle.exchange(b'idle')
    await network.set_rules(CUT)
    used.send(b'lost')
    assert await used.is_silent()
    await network.set_rules()
    with pytest.raises(ConnectionError):
        await used.receive()
    assert await idle.exchange(b'again') == b'again'


async def test_cut_link_takes_no_new_connection(network: Network) -> None:
    """Guards against a partition that new connections cross."""
    await network.set_rules(CUT)
    link = await network.connect()
    link.send(b'lost')
    assert await link.is_silent()
    await network.set_rules()
    assert await link.receive() == b''
    assert network.received == []


async def test_one_way_cut(network: Network) -> None:
    """Guards against one-way partitions that cut both ways."""
    link = await network.connect()
    await link.exchange(b'before')
    await network.set_rules({'source': CUT_SOURCE, 'backward': 'drop'})
    link.send(b'heard')
    assert await link.is_silent()
    assert network.received == [b'before', b'heard']


async def test_held_bytes_arrive_later(network: Network) -> None:
    """Guards against a short partition that loses bytes TCP would resend."""
    link = await network.connect()
    await link.exchange(b'before')
    await network.set_rules({'source': '*', 'forward': 'hold'})
    link.send(b'held')
    assert await link.is_silent()
    await network.set_rules()
    assert await link.receive() == b'held'


async def test_delay_counts_both_ways(network: Network) -> None:
    """Guards against a delay that is lost or adds up over the bytes."""
    link = await network.connect()
    await network.set_rules({'source': '*', 'delay_seconds': DELAY_SECONDS})
    loop = asyncio.get_running_loop()
    begun = loop.time()
    for number in range(20):
        link.send(str(number).encode())
    lines = [await link.receive() for _ in range(20)]
    assert lines == [str(number).encode() for number in range(20)]
    assert loop.time() - begun >= 2 * DELAY_SECONDS
