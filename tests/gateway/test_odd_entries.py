"""Requests while odd entries stand among those of the backend servers."""

import asyncio

import msgspec

from pollenloom.core.ids import ServerId
from pollenloom_standins.worker.responses import server_entry
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.fakes.odd_records import odd_records
from tests.gateway.conftest import RouterEnvironment, complete_response

ADDRESS = '127.0.0.1:9'
ENTRY = {**msgspec.json.decode(server_entry(ADDRESS)), 'born': 1}
REQUESTS = 20
FIRST, SECOND = ServerId('i-0'), ServerId('i-1')


async def respond(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond as a sound server does."""
    writer.write(complete_response(request))
    await writer.drain()


async def write_odd_entries(environment: RouterEnvironment) -> None:
    """Write odd entries of the service to which requests go."""
    for number, (name, payload) in enumerate(odd_records(ENTRY).items()):
        # An unknown field is allowed, whatever is in it, as long as it is JSON.
        if not name.startswith(('unknown', 'seq', 'version', 'zone', 'born')):
            key = f'odd-{number}'
            await environment.store.write('keyed.servers', key, payload)
    for port in ('0', '99999', '65536', '-1'):
        entry = server_entry(f'127.0.0.1:{port}')
        await environment.store.write('keyed.servers', f'p{port}', entry)


async def served(environment: RouterEnvironment, name: str) -> set[int]:
    """Return the statuses of some requests on one connection."""
    caller = await environment.connect()
    return {
        (
            await caller.fetch(
                '/read/x', request_id=f'{name}-{number}', method='GET'
            )
        ).status
        for number in range(REQUESTS)
    }


async def test_requests_are_served_past_odd_entries(
    environment: RouterEnvironment,
) -> None:
    """Guards against requests lost to an entry that names no server.

    A later server must be used, and one that leaves must not.
    """
    await write_odd_entries(environment)
    first = await environment.add_server(respond)
    await environment.ready(1)
    assert await served(environment, 'before') == {200}
    await write_odd_entries(environment)
    await environment.add_server(respond)
    directory = environment.gateway.catalogue.directory
    await environment.wait_for(lambda: SECOND in directory.servers)
    await environment.register(first, state='draining')
    await environment.wait_for(
        lambda: directory.servers[FIRST].entry.is_leaving
    )
    await first.stop()
    assert await served(environment, 'after') == {200}
