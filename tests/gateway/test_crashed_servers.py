"""Servers that end while they write an answer whose end is not marked."""

import asyncio

import pytest

from pollenloom.core.ids import ServerId
from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    reset,
)
from tests.gateway.conftest import (
    RouterEnvironment,
    event,
    stream_head,
)

WHOLE = event(1) + event(2) + event(3)


def unframed_head(request: ReceivedRequest) -> bytes:
    """Return the head of an answer that ends with its connection."""
    return stream_head(request).replace(b'Transfer-Encoding: chunked\r\n', b'')


async def end_process(
    server: ScriptedBackend, writer: asyncio.StreamWriter
) -> None:
    """Close a connection and the listener, as the end of a process does.

    The kernel resets a connection only if the process had unread input.
    """
    await server.stop()
    writer.close()


async def add_crashing_server(environment: RouterEnvironment) -> None:
    """Add a server that ends after two events of an answer."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(unframed_head(request) + event(1) + event(2))
        await writer.drain()
        await end_process(server, writer)

    server = await environment.add_server(respond)


async def add_sound_server(environment: RouterEnvironment) -> None:
    """Add a server that completes all answers."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        first = int(request.headers.get('last-event-id', '0')) + 1
        events = b''.join(map(event, range(first, 4)))
        writer.write(unframed_head(request) + events)
        await writer.drain()
        writer.close()

    await environment.add_server(respond)


@pytest.mark.parametrize('path', ['/read/', '/order/', '/stream/'])
async def test_answer_of_a_server_that_ends_is_not_complete(
    environment: RouterEnvironment, path: str
) -> None:
    """Guards against half an answer that is passed on as a success.

    Only the end of the connection marks the end of the answer, and the end of
    the server closes it in the same way.
    """
    await add_crashing_server(environment)
    await environment.ready(1)
    caller = await environment.connect()
    response = await caller.fetch(path)
    assert response.status == 502 or not response.is_complete


@pytest.mark.parametrize('path', ['/read/', '/resume/'])
async def test_repeatable_request_is_completed_by_another_server(
    environment: RouterEnvironment, path: str
) -> None:
    """Guards against a request that fails though it may be sent again."""
    await add_crashing_server(environment)
    await environment.ready(1)
    await add_sound_server(environment)
    await environment.ready(2)
    for _ in range(2):
        caller = await environment.connect()
        response = await caller.fetch(path)
        assert response.is_complete
        assert response.body == WHOLE


@pytest.mark.parametrize('path', ['/read/', '/order/', '/stream/'])
async def test_last_answer_of_a_leaving_server_is_complete(
    environment: RouterEnvironment, path: str
) -> None:
    """Guards against whole answers that fail as their server stops.

    A server that leaves ends after its last answer.
    """
    server: ScriptedBackend

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        head = unframed_head(request)
        await environment.register(server, state='draining', seq=2)
        directory = environment.gateway.catalogue.directory
        await environment.wait_for(
            lambda: directory.servers[ServerId('i-0')].entry.is_leaving
        )
        writer.write(head + WHOLE)
        await writer.drain()
        await end_process(server, writer)

    server = await environment.add_server(respond)
    await environment.ready(1)
    caller = await environment.connect()
    response = await caller.fetch(path)
    assert response.status == 200
    assert response.is_complete
    assert response.body == WHOLE


@pytest.mark.parametrize('path', ['/read/', '/order/', '/stream/'])
@pytest.mark.parametrize('how', ['reset', 'closed'])
async def test_server_that_ends_behind_an_open_address_is_noticed(
    environment: RouterEnvironment, path: str, how: str
) -> None:
    """Guards against half an answer of a server whose address still accepts.

    A supervisor or proxy holds the address and drops connections that it
    cannot pass on.
    """
    is_ended = False

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal is_ended
        writer.write(unframed_head(request) + event(1) + event(2))
        await writer.drain()
        is_ended = True
        writer.close()

    async def drop_when_ended(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if is_ended:
            drop = reset if how == 'reset' else asyncio.StreamWriter.close
            drop(writer)
            return
        await server.serve(reader, writer)

    server = ScriptedBackend(respond)
    listener = await asyncio.start_server(drop_when_ended, '127.0.0.1', 0)
    environment.stack.callback(listener.close)
    server.address = '{}:{}'.format(*listener.sockets[0].getsockname())
    environment.servers.append(server)
    await environment.register(server)
    await environment.ready(1)
    caller = await environment.connect()
    response = await caller.fetch(path)
    assert response.status == 502 or not response.is_complete


@pytest.mark.parametrize('path', ['/read/', '/order/', '/stream/'])
@pytest.mark.parametrize('delay', [0, 0.005])
async def test_close_that_a_reset_follows_ends_no_answer(
    environment: RouterEnvironment, path: str, delay: float
) -> None:
    """Guards against half an answer whose connection ends in two steps.

    A server that gives up shuts down its side first; the reset comes a moment
    after the end of file.
    """

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(unframed_head(request) + event(1) + event(2))
        writer.write_eof()
        await asyncio.sleep(delay)
        reset(writer)

    await environment.add_server(respond)
    await environment.ready(1)
    caller = await environment.connect()
    response = await caller.fetch(path)
    assert response.status == 502 or not response.is_complete
