"""Tests of the application stand-in."""

import asyncio
import json

import aiohttp
import pytest

from pollenloom_standins.commands.application_command import (
    ApplicationCommand,
)
from tests.standins.conftest import Start


async def test_echoes_requests_and_lists_only_orders(start: Start) -> None:
    """Guards against a list that lacks orders or contains reads.

    Only a POST is an order; checks compare the list with what routers sent.
    """
    application = await start(ApplicationCommand(service_ms=1))
    response = await application.post(
        '/orders/7?part=1',
        {'boards': 3},
        X_Request_Id='r1',
        Idempotency_Key='key-1',
    )
    echo = json.loads(response.text)
    assert (echo['path'], echo['request_id']) == ('/orders/7?part=1', 'r1')
    assert json.loads(echo['body']) == {'boards': 3}
    await application.get('/stock')
    orders = (await application.get('/control/orders'))['orders']
    listed = [(order['key'], order['request_id']) for order in orders]
    assert listed == [('key-1', 'r1')]


@pytest.mark.parametrize(('deduplicates', 'runs'), [(True, 1), (False, 2)])
async def test_repeated_order_is_listed_for_each_run(
    start: Start,
    deduplicates: bool,
    runs: int,
) -> None:
    """Guards against a list that hides an order which ran twice.

    Without deduplication a repeated key runs again and must have two records.
    """
    application = await start(
        ApplicationCommand(service_ms=1, deduplicates=deduplicates),
    )
    for _ in range(2):
        await application.post('/orders', {}, Idempotency_Key='key-1')
    orders = (await application.get('/control/orders'))['orders']
    assert len(orders) == runs


async def test_order_without_response_counts_as_run(start: Start) -> None:
    """Guards against orders that are not listed because the response was lost.

    The connection is aborted, or the caller disconnects before a late response.
    """
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


async def test_crossed_response_has_the_previous_content(start: Start) -> None:
    """Guards against a crossed response that has the correct id.

    Routers are to detect that it belongs to the previous request.
    """
    application = await start(ApplicationCommand(service_ms=1))
    await application.post('/orders/1', {}, X_Request_Id='first')
    await application.set_faults(next_crossed=1)
    crossed = await application.post('/orders/2', {}, X_Request_Id='second')
    assert crossed.headers['X-Request-Id'] == 'first'
    assert json.loads(crossed.text)['path'] == '/orders/1'
    orders = (await application.get('/control/orders'))['orders']
    assert [order['path'] for order in orders] == ['/orders/1', '/orders/2']
