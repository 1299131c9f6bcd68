"""Version moves that operators order, on a router with its store."""

import asyncio

import msgspec

from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    RouterEnvironment,
    Script,
    complete_response,
)

REQUESTS = 200
# Part of the requests that an unproven version may get, and the slack that the
# operators grant, as a part of these requests.
TRIAL_SHARE = 0.1
SECONDS = 3


def respond_after(seconds: float) -> Script:
    """Return the script of a server that takes this long."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(seconds)
        writer.write(complete_response(request))

    return respond


async def order_move(environment: RouterEnvironment, seconds: float) -> None:
    """Order the move to the version of the second server."""
    order = {'service': 'app', 'target': 'v2', 'duration_s': seconds}
    payload = msgspec.json.encode(order)
    await environment.store.write('keyed.op', 'rollout/app', payload)


def written_state(environment: RouterEnvironment) -> str | None:
    """Return the state in the store."""
    record = environment.store.topics['keyed.status'].newest.get('rollout/app')
    if record is None:
        return None
    return str(msgspec.json.decode(record.payload)['state'])


async def call_often(environment: RouterEnvironment, number: int) -> None:
    """Make calls one after the other."""
    caller = await environment.connect()
    for request in range(number):
        response = await caller.fetch(
            '/read/x', request_id=f'a{request}', method='GET'
        )
        assert response.status == 200


async def test_slow_version_is_rolled_back_and_gets_nothing_more(
    environment: RouterEnvironment,
) -> None:
    """Guards against a version several times slower that is kept (EXPOSURE)."""
    await environment.add_server(respond_after(0.004))
    await environment.ready(1)
    await call_often(environment, 30)
    await order_move(environment, 60)
    await environment.wait_for(lambda: written_state(environment) == 'active')
    slow = await environment.add_server(respond_after(0.06), version='v2')
    await environment.ready(2)
    for _ in range(REQUESTS // 20):
        await call_often(environment, 20)
    await environment.wait_for(
        lambda: written_state(environment) == 'rolled_back'
    )
    used = len(slow.requests)
    assert 0 < used <= REQUESTS * TRIAL_SHARE
    await call_often(environment, 30)
    assert len(slow.requests) == used


async def test_good_version_is_completed_and_replaces_the_old_one(
    environment: RouterEnvironment,
) -> None:
    """Guards against a good version that waits for ever."""
    old = await environment.add_server(respond_after(0.004))
    await environment.ready(1)
    await call_often(environment, 30)
    await order_move(environment, SECONDS)
    await environment.wait_for(lambda: written_state(environment) == 'active')
    await environment.add_server(respond_after(0.004), version='v2')
    await environment.ready(2)
    while written_state(environment) == 'active':
        await call_often(environment, 10)
    assert written_state(environment) == 'completed'
    used = len(old.requests)
    await call_often(environment, 10)
    assert len(old.requests) == used
