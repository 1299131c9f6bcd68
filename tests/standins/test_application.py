"""Failures of the application stand-in."""

import asyncio
import json

import aiohttp
import pytest

from pollenloom_standins.commands.application_command import (
    ApplicationCommand,
)
from tests.standins.conftest import Start


async def test_echoes_and_lists_orders_only(start: Start) -> None:
    """Guards against orders missing from the list and reads in it."""
    application = await start(ApplicationCommand(service_ms=1))
    answer = await application.post(
        '/orders/7?part=1',
        {'boards': 3},
        X_Request_Id='r1',
        Idempotency_Key='key-1',
    )
    echo = json.loads(answer.text)
    assert (echo['path'], echo['request_id']) == ('/orders/7?part=1', 'r1')
    assert json.loads(echo['body']) == {'boards': 3}
    await application.get('/stock')
    orders = (await application.get('/control/orders'))['orders']
    listed = [(order['key'], order['request_id']) for order in orders]
    assert listed == [('key-1', 'r1')]


@pytest.mark.parametrize(('deduplicates', 'runs'), [(True, 1), (False, 2)])
async def test_repeated_order(
    start: Start,
    deduplicates: bool,
    runs: int,
) -> None:
    """Guards against a list that hides orders which ran twice."""
    application = await start(
        ApplicationCommand(service_ms=1, deduplicates=deduplicates),
    )
    for _ in range(2):
        await application.post('/orders', {}, Idempotency_Key='key-1')
    orders = (await application.get('/control/orders'))['orders']
    assert len(orders) == runs


async def test_order_without_answer_counts_as_run(start: Start) -> None:
    """Guards against lost answers that look like orders not run."""
    application = await start(ApplicationCommand(service_ms=1))
    await application.set_faults(next_died=1)
    with pytest.raises(aiohttp.ClientError):
        await application.post('/orders', {}, Idempotency_Key='died')
    await application.set_faults(next_late=1, late_seconds=60)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await application.post('/orders', {}, Idempotency_Key='late')
    orders = (await application.get('/control/orders'))['orders']
    assert [order['key'] for order in orders] == ['died', 'late']


async def test_crossed_answer(start: Start) -> None:
    """Guards against a crossed answer that bears the right id."""
    application = await start(ApplicationCommand(service_ms=1))
    await application.post('/orders/1', {}, X_Request_Id='first')
    await application.set_faults(next_crossed=1)
    crossed = await application.post('/orders/2', {}, X_Request_Id='second')
    assert crossed.headers['X-Request-Id'] == 'first'
    assert json.loads(crossed.text)['path'] == '/orders/1'
    orders = (await application.get('/control/orders'))['orders']
    assert [order['path'] for order in orders] == ['/orders/1', '/orders/2']
