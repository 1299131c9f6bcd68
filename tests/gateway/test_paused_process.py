"""Requests of a router that was paused between its decision and sending."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from pollenloom.core.ids import ServerId
from pollenloom.gateway.relay import Relay
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.worker.responses import server_entry
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    RouterEnvironment,
    complete_response,
    make_configuration,
    make_route,
)

Acquire = Callable[..., Awaitable[Any]]


async def respond_ok(
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Send a complete response."""
    writer.write(complete_response(request))
    await writer.drain()


def find_relay(environment: RouterEnvironment) -> Relay:
    """Return the relay of the router."""
    return environment.kernel.find(KernelServiceName.DISPATCH, Relay)


def revision(environment: RouterEnvironment) -> int:
    """Return the version of the configuration in force; 0 without one."""
    configuration = environment.gateway.catalogue.configuration
    return 0 if configuration is None else configuration.revision


def pause_first_connection(
    environment: RouterEnvironment,
    monkeypatch: pytest.MonkeyPatch,
    pause: Callable[[], Awaitable[None]],
) -> list[ServerId]:
    """Run `pause` while the first connection is made; return the servers."""
    pool = find_relay(environment).connection_pool
    acquire: Acquire = pool.acquire
    servers: list[ServerId] = []

    async def acquire_late(server: Any, **options: Any) -> Any:
        """Make a connection, the first one with a pause."""
        servers.append(server.server)
        if len(servers) == 1:
            await pause()
        return await acquire(server, **options)

    monkeypatch.setattr(pool, 'acquire', acquire_late)
    return servers


async def test_server_that_left_during_a_pause_gets_no_request(
    environment: RouterEnvironment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a grant that is used seconds after it was given.

    The server says meanwhile that it leaves.
    """
    servers = [await environment.add_server(respond_ok) for _ in range(2)]
    await environment.ready(2)
    configuration = make_configuration(2)
    route = make_route('non_idempotent', '/slow/', timeout_ms=6000)
    configuration['routes'].append({**route, 'name': 'r-slow'})
    await environment.configure(configuration)
    await environment.wait_for(lambda: revision(environment) == 2)
    directory = environment.gateway.catalogue.directory
    chosen: list[ServerId] = []

    async def leave() -> None:
        """Let the chosen server leave, and wait as a paused process does."""
        server = servers[int(chosen[0].partition('-')[2])]
        payload = server_entry(server.address, state='draining')
        await environment.store.write('keyed.servers', chosen[0], payload)
        await environment.wait_for(
            lambda: directory.servers[chosen[0]].entry.is_leaving
        )
        await asyncio.sleep(1.6)

    chosen = pause_first_connection(environment, monkeypatch, leave)
    caller = await environment.connect()
    response = await caller.fetch('/slow/', x_pollenloom_deadline_ms='5000')
    left = servers[int(chosen[0].partition('-')[2])]
    assert not left.requests
    assert response.status == 200


async def test_suspended_machine_asks_for_a_new_grant(
    environment: RouterEnvironment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against old grants after a suspension.

    Monotonic time does not count it.
    """
    await environment.add_server(respond_ok)
    await environment.ready(1)
    clock = environment.kernel.clock
    uptime = clock.uptime

    async def suspend() -> None:
        """Let the time since the start of the machine jump."""
        monkeypatch.setattr(clock, 'uptime', lambda: uptime() + 3)
        await asyncio.sleep(0)

    chosen = pause_first_connection(environment, monkeypatch, suspend)
    caller = await environment.connect()
    response = await caller.fetch('/read/')
    assert response.status == 200
    assert len(chosen) == 2
