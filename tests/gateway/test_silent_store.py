"""Changes of the store after its open connections have gone silent.

Guards against a revoked key or a leaving server that is used for longer than
operators allow, since reads were repeated on connections that were dead too.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.fakes.router_fixtures import open_store
from tests.fakes.silent_link import SilentLink
from tests.gateway.conftest import (
    CallerConnection,
    RouterEnvironment,
    complete_response,
    make_configuration,
    start_router,
)

# Changes apply within this time, on routers that have been in touch with the
# store again for `SETTLED_SECONDS`.
IN_FORCE_SECONDS = 2.0
SETTLED_SECONDS = 3.0
# Longer than the wait of any read.
GIVE_UP_SECONDS = 8.0
# Calls that leave idle connections to the store.
PARALLEL_CALLS = 5

Change = Callable[[RouterEnvironment], Awaitable[None]]


async def respond(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond to each request."""
    writer.write(complete_response(request))
    await writer.drain()


async def revoke_key(environment: RouterEnvironment) -> None:
    """Replace the only key."""
    tenants = [{'name': 'shop', 'api_keys': ['another-key']}]
    configuration = {**make_configuration(2), 'tenants': tenants}
    await environment.configure(configuration)


async def retire_server(environment: RouterEnvironment) -> None:
    """Announce that the only server leaves."""
    await environment.register(environment.servers[0], state='draining')


async def remove_server(environment: RouterEnvironment) -> None:
    """Remove the entry of the only server."""
    await environment.store.write('keyed.servers', 'i-0', b'')


@pytest.fixture
async def link_and_router(
    tmp_path: Path,
) -> AsyncIterator[tuple[SilentLink, RouterEnvironment]]:
    """A router with one server, and its link to the store."""
    async with AsyncExitStack() as stack:
        store, address = await open_store(stack)
        link = await stack.enter_async_context(SilentLink.to(address))
        path = tmp_path / 'node.toml'
        kernel = await start_router(stack, path, link.address)
        environment = RouterEnvironment(kernel, store, address, stack)
        await environment.configure(make_configuration())
        await environment.add_server(respond)
        await environment.ready(1)
        yield link, environment


async def open_connections(environment: RouterEnvironment) -> None:
    """Leave several idle connections to the store."""
    store = environment.kernel.find(KernelServiceName.KEYED_STORE, KeyedStore)
    await asyncio.gather(
        *(store.newest(StoreTopic.BLOCKS) for _ in range(PARALLEL_CALLS))
    )


async def last_use(
    caller: CallerConnection, environment: RouterEnvironment
) -> float:
    """Send until nothing reaches a server; return when the last one did."""
    server = environment.servers[0]
    used_at = time.monotonic()
    ends_at = used_at + GIVE_UP_SECONDS
    number = 0
    while time.monotonic() < ends_at:
        before = len(server.requests)
        sent_at = time.monotonic()
        response = await caller.fetch('/order/1', request_id=f'r{number}')
        number += 1
        if len(server.requests) > before:
            used_at = sent_at
        elif response.status != 200:
            return used_at
        await asyncio.sleep(0.02)
    return used_at


@pytest.mark.parametrize('change', [revoke_key, retire_server, remove_server])
@pytest.mark.parametrize('silent_after', [0.1, 0.7, 1.6])
async def test_change_applies_after_connections_went_silent(
    link_and_router: tuple[SilentLink, RouterEnvironment],
    change: Change,
    silent_after: float,
) -> None:
    link, environment = link_and_router
    await open_connections(environment)
    await asyncio.sleep(silent_after)
    link.silence()
    await asyncio.sleep(SETTLED_SECONDS)
    await change(environment)
    changed_at = time.monotonic()
    caller = await environment.connect()
    assert await last_use(caller, environment) - changed_at < IN_FORCE_SECONDS


@pytest.mark.parametrize('change', [revoke_key, retire_server, remove_server])
@pytest.mark.parametrize('silent_seconds', [4.4, 5.3])
async def test_change_applies_after_the_store_was_silent(
    link_and_router: tuple[SilentLink, RouterEnvironment],
    change: Change,
    silent_seconds: float,
) -> None:
    # Connections of the silent time stay silent, and a read on one of them
    # hung for up to 3 s more.
    link, environment = link_and_router
    await open_connections(environment)
    ends_at = time.monotonic() + silent_seconds
    while time.monotonic() < ends_at:
        link.silence()
        await asyncio.sleep(0.01)
    link.silence()
    await asyncio.sleep(SETTLED_SECONDS)
    await change(environment)
    changed_at = time.monotonic()
    caller = await environment.connect()
    assert await last_use(caller, environment) - changed_at < IN_FORCE_SECONDS
