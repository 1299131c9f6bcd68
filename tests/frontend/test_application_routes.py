"""Application routes, and the responses that callers get on failures."""

import asyncio
from datetime import UTC, datetime, timedelta

import pytest
from aiohttp import ClientSession, web

from tests.fakes.caller_router import CallerRouter
from tests.fakes.fake_backend import (
    Behaviour,
    Hold,
    drop,
    fail,
    refuse,
    respond,
)
from tests.fakes.fixed_configuration import OTHER_KEY, make_configuration

LOTS = '/stitching/lots/4?x=1'
ORDERS = '/stitching/orders'
CHAT = '/v1/chat/completions'
PROMPT = {'model': 'drafts', 'messages': [{'role': 'user', 'content': 'a'}]}


async def test_response_is_forwarded(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against headers or paths that change when they are forwarded."""
    response = await http.get(LOTS, headers={'X-Account': 'forged'})
    assert await response.json() == {'path': '/lots/4?x=1'}
    assert response.headers['X-Request-Id']
    received = router.backends[0].received[0]
    assert received.headers['X-Account'] == 'cantel'
    assert 'Authorization' not in received.headers
    head = await http.head('/stitching')
    assert (head.status, await head.read()) == (200, b'')
    assert router.backends[0].received[1].path == '/'
    ordered = await http.post(ORDERS, headers={'Idempotency-Key': 'key'})
    assert ordered.headers['Idempotent-Replayed'] == 'true'
    assert router.backends[0].received[2].headers['Idempotency-Key'] == 'key'


@pytest.mark.parametrize(
    ('behaviour', 'expected'),
    [
        (refuse('full'), (503, 'retries_exhausted', 'no')),
        (refuse('fenced', 409), (503, 'retries_exhausted', 'no')),
        (drop, (502, 'backend_failed', 'unknown')),
    ],
)
async def test_run_status_matches_the_attempts(
    router: CallerRouter,
    http: ClientSession,
    behaviour: Behaviour,
    expected: tuple[int, str, str],
) -> None:
    """Guards against "not run" for a request that a server may have run."""
    for backend in router.backends:
        backend.script.extend(behaviour for _ in range(4))
    response = await http.post(CHAT, json=PROMPT)
    problem = await response.json(content_type=None)
    assert (response.status, problem['kind'], problem['run']) == expected
    assert ('Retry-After' in response.headers) == (problem['run'] == 'no')


async def test_run_stays_unknown_without_capacity(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against `run: no` after a first attempt that may have run.

    The first attempt loses its connection; the retry finds no capacity.
    """

    async def drop_last(request: web.Request) -> web.StreamResponse:
        router.admission.servers.clear()
        return await drop(request)

    router.backends[0].script.append(drop_last)
    response = await http.post(CHAT, json=PROMPT)
    problem = await response.json(content_type=None)
    assert problem['run'] == 'unknown'


async def test_error_response_of_an_application(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against an error of the application that is hidden or retried."""
    router.backends[0].script.append(fail(500))
    response = await http.post(ORDERS)
    assert response.status == 500
    assert await response.json() == {'oops': True}
    assert not router.backends[1].received


async def test_order_outlives_the_connection(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against an order that runs without a recorded outcome.

    The caller disconnects while the backend server runs the order.
    """
    held = Hold(respond)
    router.backends[0].script.append(held)
    task = asyncio.create_task(http.post(ORDERS))
    async with asyncio.timeout(10):
        await router.backends[0].arrived.wait()
        task.cancel()
        held.released.set()
        await router.orders.ended.wait()
    assert not router.backends[0].disconnected.is_set()


async def test_access(router: CallerRouter, http: ClientSession) -> None:
    """Guards against an account that uses services it is not listed in."""
    other = {'Authorization': f'Bearer {OTHER_KEY}'}
    assert (await http.get('/v1/models', headers=other)).status == 200
    assert (await http.get(LOTS, headers=other)).status == 403
    assert (
        await http.get(LOTS, headers={'Authorization': 'Bearer ' + 'x' * 9})
    ).status == 401
    assert not router.backends[0].received


async def test_sunset(router: CallerRouter, http: ClientSession) -> None:
    """Guards against a shutdown date without notice, or without effect."""
    assert 'Sunset' not in (await http.get(LOTS)).headers
    soon = datetime.now(UTC) + timedelta(days=29)
    router.configuration.configuration = make_configuration(soon)
    sunset = (await http.get(LOTS)).headers['Sunset']
    assert sunset == soon.strftime('%a, %d %b %Y %H:%M:%S GMT')
    past = datetime.now(UTC) - timedelta(seconds=1)
    router.configuration.configuration = make_configuration(past)
    response = await http.get(LOTS)
    assert response.status == 410
    assert (await response.json(content_type=None))['kind'] == 'service_ended'


async def test_drain_finishes_accepted_requests(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against a planned shutdown that cuts requests.

    Readiness ends first; new requests are rejected after the grace period.
    """
    held = Hold(respond)
    router.backends[0].script.append(held)
    running = asyncio.create_task(http.get(LOTS))
    async with asyncio.timeout(10):
        await router.backends[0].arrived.wait()
        drained = asyncio.create_task(router.kernel.drain(10))
        while (await http.get('/readyz')).status == 200:
            await asyncio.sleep(0.01)
        rejected = await http.get(LOTS)
        assert rejected.headers['Connection'] == 'close'
        problem = await rejected.json(content_type=None)
        assert problem['kind'] == 'shutting_down'
        assert not drained.done()
        held.released.set()
        assert (await running).status == 200
        assert await drained


@pytest.mark.parametrize('call', [('get', LOTS), ('post', ORDERS)])
async def test_end_of_a_drain_responds_to_what_still_runs(
    router: CallerRouter,
    http: ClientSession,
    call: tuple[str, str],
) -> None:
    """Guards against a planned shutdown that closes without a response."""
    router.backends[0].script.append(Hold(respond))
    running = asyncio.create_task(http.request(*call))
    async with asyncio.timeout(10):
        await router.backends[0].arrived.wait()
        assert not await router.kernel.drain(1)
        response = await running
    assert response.status == 502
    problem = await response.json(content_type=None)
    assert problem['run'] == 'unknown'
    assert response.headers['Connection'] == 'close'


async def test_drain_refuses_what_it_would_cut(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against requests that are sent although no time is left."""
    router.limits = router.limits.model_copy(
        update={'drain_grace_seconds': 0.4}
    )
    router.callers.limits = router.limits
    assert (await http.get(LOTS)).status == 200
    durations = router.dispatcher.stop_limits.durations
    route = next(iter(durations.durations))
    durations.add(route, 5)
    drained = asyncio.create_task(router.kernel.drain(2))
    await asyncio.sleep(0.1)
    response = await http.get(LOTS)
    problem = await response.json(content_type=None)
    assert (response.status, problem['kind']) == (503, 'shutting_down')
    assert float(response.headers['Retry-After']) > 0
    assert len(router.backends[0].received) == 1
    assert await drained


async def test_connections_are_limited(router: CallerRouter) -> None:
    """Guards against unbounded memory for open connections."""
    router.callers.app.ctx.connection_limit = 1
    host, port = router.callers.address.split(':')
    first, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET /healthz HTTP/1.1\r\n\r\n')
    async with asyncio.timeout(10):
        assert await first.readuntil(b'}')
        second, second_writer = await asyncio.open_connection(host, int(port))
        assert b' 503 ' in await second.read()
    second_writer.close()
    writer.close()
