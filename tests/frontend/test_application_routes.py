"""Routes of applications, and what callers are told of failures."""

import asyncio
from datetime import UTC, datetime, timedelta

import pytest
from aiohttp import ClientSession, web

from tests.fakes.caller_router import CallerRouter
from tests.fakes.fake_backend import (
    Behaviour,
    Hold,
    answer,
    drop,
    fail,
    refuse,
)
from tests.fakes.fixed_configuration import OTHER_KEY, make_configuration

LOTS = '/stitching/lots/4?x=1'
ORDERS = '/stitching/orders'
CHAT = '/v1/chat/completions'
PROMPT = {'model': 'drafts', 'messages': [{'role': 'user', 'content': 'a'}]}


async def test_answer_is_passed_on(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against headers or paths that change on the way."""
    answered = await http.get(LOTS, headers={'X-Account': 'forged'})
    assert await answered.json() == {'path': '/lots/4?x=1'}
    assert answered.headers['X-Request-Id']
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
async def test_run_is_truthful(
    router: CallerRouter,
    http: ClientSession,
    behaviour: Behaviour,
    expected: tuple[int, str, str],
) -> None:
    """Guards against "not run" for a request that a server may have run."""
    for backend in router.backends:
        backend.script.extend(behaviour for _ in range(4))
    answered = await http.post(CHAT, json=PROMPT)
    problem = await answered.json(content_type=None)
    assert (answered.status, problem['kind'], problem['run']) == expected
    assert ('Retry-After' in answered.headers) == (problem['run'] == 'no')


async def test_run_stays_unknown_when_capacity_is_gone(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against a refusal of a retry that hides the first attempt."""

    async def drop_last(request: web.Request) -> web.StreamResponse:
        router.admission.servers.clear()
        return await drop(request)

    router.backends[0].script.append(drop_last)
    answered = await http.post(CHAT, json=PROMPT)
    problem = await answered.json(content_type=None)
    assert problem['run'] == 'unknown'


async def test_error_answer_of_an_application(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against a server's own error that callers do not see."""
    router.backends[0].script.append(fail(500))
    answered = await http.post(ORDERS)
    assert answered.status == 500
    assert await answered.json() == {'oops': True}
    assert not router.backends[1].received


async def test_order_of_a_caller_that_left(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against an order that runs without a recorded outcome."""
    held = Hold(answer)
    router.backends[0].script.append(held)
    task = asyncio.create_task(http.post(ORDERS))
    async with asyncio.timeout(10):
        await router.backends[0].arrived.wait()
        task.cancel()
        held.released.set()
        await router.orders.ended.wait()
    assert not router.backends[0].left.is_set()


async def test_access(router: CallerRouter, http: ClientSession) -> None:
    """Guards against an account that uses services of others."""
    other = {'Authorization': f'Bearer {OTHER_KEY}'}
    assert (await http.get('/v1/models', headers=other)).status == 200
    assert (await http.get(LOTS, headers=other)).status == 403
    assert (
        await http.get(LOTS, headers={'Authorization': 'Bearer ' + 'x' * 9})
    ).status == 401
    assert not router.backends[0].received


async def test_sunset(router: CallerRouter, http: ClientSession) -> None:
    """Guards against a shutdown that surprises callers."""
    assert 'Sunset' not in (await http.get(LOTS)).headers
    soon = datetime.now(UTC) + timedelta(days=29)
    router.configuration.configuration = make_configuration(soon)
    sunset = (await http.get(LOTS)).headers['Sunset']
    assert sunset == soon.strftime('%a, %d %b %Y %H:%M:%S GMT')
    past = datetime.now(UTC) - timedelta(seconds=1)
    router.configuration.configuration = make_configuration(past)
    answered = await http.get(LOTS)
    assert answered.status == 410
    assert (await answered.json(content_type=None))['kind'] == 'service_ended'


async def test_drain_finishes_accepted_requests(
    router: CallerRouter,
    http: ClientSession,
) -> None:
    """Guards against a planned stop that cuts requests."""
    held = Hold(answer)
    router.backends[0].script.append(held)
    running = asyncio.create_task(http.get(LOTS))
    async with asyncio.timeout(10):
        await router.backends[0].arrived.wait()
        drained = asyncio.create_task(router.kernel.drain(10))
        while (await http.get('/readyz')).status == 200:
            await asyncio.sleep(0.01)
        refused = await http.get(LOTS)
        assert refused.headers['Connection'] == 'close'
        problem = await refused.json(content_type=None)
        assert problem['kind'] == 'shutting_down'
        assert not drained.done()
        held.released.set()
        assert (await running).status == 200
        assert await drained


async def test_connections_are_limited(router: CallerRouter) -> None:
    """Guards against memory taken by open connections."""
    router.callers.app.ctx.connection_limit = 1
    host, port = router.callers.address.split(':')
    first, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET /healthz HTTP/1.1\r\n\r\n')
    async with asyncio.timeout(10):
        assert await first.readuntil(b'}')
        second, refused = await asyncio.open_connection(host, int(port))
        assert b' 503 ' in await second.read()
    refused.close()
    writer.close()
