"""Streams that are slow, that stall, or whose server is silent elsewhere."""

import asyncio

from pollenloom.core.ids import ServerId
from pollenloom_standins.worker.responses import LAST_CHUNK, chunk
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    RouterEnvironment,
    event,
    make_configuration,
    make_route,
    stream_head,
)

SLOW_EVENTS = 4
SLOW_GAP_SECONDS = 0.3
# Time limit of streams in the configuration of the environment.
TIMEOUT_SECONDS = 1.5


async def test_slow_stream_is_relayed_to_its_end(
    environment: RouterEnvironment,
) -> None:
    """Guards against a sound stream that is cut for its pauses."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send events with pauses, for almost the whole time limit."""
        writer.write(stream_head(request))
        for number in range(1, SLOW_EVENTS + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(SLOW_GAP_SECONDS)
        writer.write(LAST_CHUNK)
        await writer.drain()

    await environment.add_server(respond)
    await environment.ready(1)
    caller = await environment.connect()
    response = await caller.fetch('/stream/')
    assert response.is_complete
    assert response.body.count(b'data:') == SLOW_EVENTS


async def test_stalled_stream_ends_at_its_time_limit(
    environment: RouterEnvironment,
) -> None:
    """Guards against a stream that a byte now and then keeps open for ever."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send a part of an event, byte by byte, without an end."""
        writer.write(stream_head(request) + chunk(event(1)))
        while not writer.is_closing():
            writer.write(chunk(b':'))
            await writer.drain()
            await asyncio.sleep(SLOW_GAP_SECONDS)

    await environment.add_server(respond)
    await environment.ready(1)
    caller = await environment.connect()
    began = asyncio.get_running_loop().time()
    response = await caller.fetch('/stream/')
    assert not response.is_complete
    seconds = asyncio.get_running_loop().time() - began
    assert seconds <= TIMEOUT_SECONDS + 1 / 2


async def test_stream_goes_on_while_its_server_is_not_listed(
    environment: RouterEnvironment,
) -> None:
    """Guards against work given up, or started again, for a late report.

    The entry of a server that is only silent towards the store lapses, and
    the server is dropped some seconds later.
    """
    configuration = make_configuration(2)
    route = make_route(
        'streaming', '/long/', resumable=True, timeout_ms=9000, name='r-long'
    )
    configuration['routes'].append(route)
    await environment.configure(configuration)
    is_unlisted = asyncio.Event()

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send the second event once the server is not listed any more."""
        writer.write(stream_head(request) + chunk(event(1)))
        await writer.drain()
        await is_unlisted.wait()
        writer.write(chunk(event(2)) + LAST_CHUNK)
        await writer.drain()

    servers = [await environment.add_server(respond) for _ in range(2)]
    await environment.ready(2)
    catalogue = environment.gateway.catalogue
    await environment.wait_for(
        lambda: (
            catalogue.configuration is not None
            and catalogue.configuration.revision == 2
        )
    )
    caller = await environment.connect()
    asking = asyncio.create_task(caller.fetch('/long/'))
    await environment.wait_for(
        lambda: any(server.requests for server in servers)
    )
    for number in range(2):
        await environment.store.write('keyed.servers', f'i-{number}', b'')
    await environment.wait_for(
        lambda: ServerId('i-0') not in catalogue.directory.servers
    )
    await asyncio.sleep(0.5)
    is_unlisted.set()
    response = await asking
    assert response.is_complete
    assert response.body.count(b'data:') == 2
    assert sum(len(server.requests) for server in servers) == 1
