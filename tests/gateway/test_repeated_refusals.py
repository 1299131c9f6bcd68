"""Refusals that a server writes once more on a kept connection."""

import asyncio

import pytest

from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
)
from tests.gateway.conftest import RouterEnvironment, complete_response

ID_LINE = 'X-Pollenloom-Attempt-Id: {}\r\n'


def refusal(request_id: str = '') -> bytes:
    """Return a refusal, with the id of a request if one is given."""
    id_line = ID_LINE.format(request_id) if request_id else ''
    return (
        'HTTP/1.1 503 Full\r\nX-Pollenloom-Not-Executed: 1\r\n'
        f'{id_line}Content-Length: 0\r\n\r\n'
    ).encode()


def run_count(server: ScriptedBackend) -> int:
    """Return how many requests a server has run: all but the first."""
    return len(server.requests) - 1


@pytest.mark.parametrize('first_has_id', [True, False])
async def test_refusal_without_id_on_a_kept_connection_proves_nothing(
    environment: RouterEnvironment, first_has_id: bool
) -> None:
    """Guards against "not run" for an order that the server runs.

    The server writes its refusal of an earlier request once more.
    """
    refused: set[asyncio.StreamWriter] = set()

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Refuse the first request of a connection, and repeat that."""
        request_id = request.headers['x-pollenloom-attempt-id']
        is_first = writer not in refused
        refused.add(writer)
        writer.write(refusal(request_id if is_first and first_has_id else ''))
        await writer.drain()

    server = await environment.add_server(respond)
    await environment.ready(1)
    caller = await environment.connect()
    first = await caller.fetch('/order/', request_id='a1')
    assert first.status == 503
    second = await caller.fetch('/order/', request_id='a2')
    connections = len(refused)
    assert connections == 2 or (second.status == 502 and run_count(server) == 1)


async def test_order_is_not_sent_again_after_a_repeated_refusal(
    environment: RouterEnvironment,
) -> None:
    """Guards against an order that runs at a second server as well.

    The refusal of the request before comes again, and then its answer.
    """

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer, and refuse in between without an id."""
        if request.headers['x-pollenloom-attempt-id'] == 'a2':
            writer.write(refusal())
        writer.write(complete_response(request))
        await writer.drain()

    servers = [await environment.add_server(respond) for _ in range(2)]
    await environment.ready(2)
    caller = await environment.connect()
    for _ in range(4):
        await caller.fetch('/order/', request_id='a1')
    before = sum(len(server.requests) for server in servers)
    response = await caller.fetch('/order/', request_id='a2')
    sent = sum(len(server.requests) for server in servers) - before
    assert sent == 1
    assert response.status == 502


async def refuse(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse a request with its id."""
    writer.write(refusal(request.headers['x-pollenloom-attempt-id']))
    await writer.drain()


async def test_own_refusal_is_not_taken_for_that_of_a_later_attempt(
    environment: RouterEnvironment,
) -> None:
    """Guards against a refusal that comes again for the same request id."""
    await environment.add_server(refuse)
    await environment.ready(1)
    caller = await environment.connect()
    statuses = [
        (await caller.fetch('/order/', request_id='same')).status
        for _ in range(2)
    ]
    assert statuses == [503, 502]


async def test_refusals_with_ids_stay_proof(
    environment: RouterEnvironment,
) -> None:
    """Guards against orders reported as unknown that were never run."""
    await environment.add_server(refuse)
    await environment.ready(1)
    caller = await environment.connect()
    for number in range(4):
        response = await caller.fetch('/order/', request_id=f'a{number}')
        assert response.status == 503
