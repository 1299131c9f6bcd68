"""Ends of responses without length whose server, or its port, is in trouble.

Only the end of the connection marks the end of such a response, and the end of
the server closes it in the same way.
"""

import asyncio
import time
from dataclasses import dataclass

import pytest

from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    reset,
)
from tests.gateway.conftest import (
    CallerResponse,
    RouterEnvironment,
    event,
    stream_head,
)

EVENTS = 3
WHOLE = b''.join(event(number + 1) for number in range(EVENTS))
# Between events, so that the router has time for a second connection.
EVENT_SECONDS = 0.15
REPORT_SECONDS = 0.2
BORN = 1_700_000_000_000


@dataclass
class PortServer:
    """A server of responses without length, and what holds its address.

    Attributes:
        backend: The process that runs requests.
        events: Events that it writes before the trouble begins.
        event_seconds: Pause before each event.
        resets_connections: Whether new connections are reset from then on.
        ends: Whether the process ends then. Its address stays open, as another
            process takes its place.
        pause_seconds: How long the router stands still meanwhile.
        is_troubled: Whether the trouble has begun.
        born: When the process started, Unix milliseconds.
    """

    environment: RouterEnvironment
    events: int = EVENTS
    event_seconds: float = EVENT_SECONDS
    resets_connections: bool = False
    ends: bool = False
    pause_seconds: float = 0
    is_troubled: bool = False
    born: int = BORN

    async def start(self) -> None:
        """Listen and register."""
        self.backend = ScriptedBackend(self.respond)
        self.listener = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        host, port = self.listener.sockets[0].getsockname()
        self.backend.address = f'{host}:{port}'
        self.environment.stack.callback(self.listener.close)
        self.environment.servers.append(self.backend)
        await self.report()
        await self.environment.ready(len(self.environment.servers))

    async def report(self, **entry: object) -> None:
        """Write an entry to the store, as servers do every second."""
        named = {'born': self.born, **entry}
        await self.environment.register(self.backend, **named)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a new connection or reset it."""
        if self.is_troubled and self.resets_connections:
            reset(writer)
            return
        await self.backend.serve(reader, writer)

    async def respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Write the response; then the trouble begins."""
        head = stream_head(request)
        writer.write(head.replace(b'Transfer-Encoding: chunked\r\n', b''))
        for number in range(self.events):
            await asyncio.sleep(self.event_seconds)
            writer.write(event(number + 1))
            await writer.drain()
        self.is_troubled = True
        if self.ends:
            # The kernel closes all connections of a process that ends.
            for other in tuple(self.backend.writers):
                other.close()
        writer.close()
        # The loop is blocked on purpose, and the router with it.
        time.sleep(self.pause_seconds)


async def fetch(
    environment: RouterEnvironment, path: str = '/stream/'
) -> CallerResponse:
    """Send a request and read its response."""
    caller = await environment.connect()
    return await caller.fetch(path)


@pytest.mark.parametrize('path', ['/read/', '/order/', '/stream/'])
async def test_full_server_completes_its_responses(
    environment: RouterEnvironment, path: str
) -> None:
    """Guards against whole responses that are cut while a server is full.

    A server with a long queue resets new connections and serves those that it
    has.
    """
    server = PortServer(environment, resets_connections=True)
    await server.start()
    response = await fetch(environment, path)
    assert response.status == 200
    assert response.is_complete
    assert response.body == WHOLE


@pytest.mark.parametrize('resets_connections', [True, False])
@pytest.mark.parametrize('path', ['/order/', '/stream/'])
async def test_successor_of_a_server_completes_no_response(
    environment: RouterEnvironment, path: str, resets_connections: bool
) -> None:
    """Guards against half a response whose server was replaced at once.

    Another process accepts or resets new connections at the same address.
    """
    server = PortServer(
        environment,
        events=EVENTS - 1,
        ends=True,
        resets_connections=resets_connections,
    )
    await server.start()
    response = await fetch(environment, path)
    assert response.status == 502 or not response.is_complete


@pytest.mark.parametrize('path', ['/order/', '/stream/'])
async def test_report_of_a_full_server_completes_a_short_response(
    environment: RouterEnvironment, path: str
) -> None:
    """Guards against whole responses that are cut for want of a connection.

    One that ends at once leaves no time for a second connection, but its
    server goes on reporting.
    """
    server = PortServer(environment, event_seconds=0, resets_connections=True)
    await server.start()
    fetching = asyncio.create_task(fetch(environment, path))
    for seq in range(2, 8):
        await asyncio.sleep(REPORT_SECONDS)
        await server.report(seq=seq)
    response = await fetching
    assert response.status == 200
    assert response.is_complete
    assert response.body == WHOLE


@pytest.mark.parametrize('path', ['/order/', '/stream/'])
async def test_report_of_a_successor_completes_no_response(
    environment: RouterEnvironment, path: str
) -> None:
    """Guards against half a response for which a successor vouches.

    It has the id and the address of the server that has ended.
    """
    server = PortServer(
        environment,
        events=EVENTS - 1,
        event_seconds=0,
        ends=True,
        resets_connections=True,
    )
    await server.start()
    fetching = asyncio.create_task(fetch(environment, path))
    for seq in range(2, 8):
        await asyncio.sleep(REPORT_SECONDS)
        await server.report(seq=seq, born=BORN + 1)
    response = await fetching
    assert response.status == 502 or not response.is_complete


@pytest.mark.parametrize('changes', [{'seq': 1}, {'born': 0}])
async def test_entry_that_is_no_report_completes_no_response(
    environment: RouterEnvironment, changes: dict[str, int]
) -> None:
    """Guards against half a response for which an old entry vouches.

    A store that comes back writes entries again; an entry without the time of
    the start may be that of a successor.
    """
    server = PortServer(
        environment,
        events=EVENTS - 1,
        event_seconds=0,
        ends=True,
        resets_connections=True,
        born=changes.get('born', BORN),
    )
    await server.start()
    fetching = asyncio.create_task(fetch(environment))
    for seq in range(2, 8):
        await asyncio.sleep(REPORT_SECONDS)
        await server.report(**{'seq': seq, **changes})
    response = await fetching
    assert not response.is_complete


async def test_other_server_completes_a_request_at_once(
    environment: RouterEnvironment,
) -> None:
    """Guards against a wait for a report where a retry is faster."""
    server = PortServer(
        environment,
        events=EVENTS - 1,
        event_seconds=0,
        ends=True,
        resets_connections=True,
    )
    await server.start()
    other = PortServer(environment, event_seconds=0)
    await other.start()
    began = time.monotonic()
    responses = [await fetch(environment, '/read/') for _ in range(4)]
    assert {response.status for response in responses} == {200}
    assert all(response.body == WHOLE for response in responses)
    assert time.monotonic() - began < 1


async def test_server_that_leaves_too_early_completes_no_response(
    environment: RouterEnvironment,
) -> None:
    """Guards against half a response of a server that is gone after a notice.

    A spot server has two seconds, and may run requests for longer.
    """
    server = PortServer(environment, events=EVENTS - 1, ends=True)
    await server.start()
    fetching = asyncio.create_task(fetch(environment))
    await asyncio.sleep(EVENT_SECONDS)
    await server.report(seq=2, state='draining')
    await environment.wait_for(lambda: server.is_troubled)
    server.listener.close()
    response = await fetching
    assert not response.is_complete


async def test_server_back_within_a_pause_completes_no_response(
    environment: RouterEnvironment,
) -> None:
    """Guards against half a response whose server ended while a router paused.

    When the router runs again, the successor accepts connections.
    """
    server = PortServer(
        environment,
        events=EVENTS - 1,
        event_seconds=0,
        ends=True,
        pause_seconds=0.7,
    )
    await server.start()
    response = await fetch(environment)
    assert not response.is_complete
