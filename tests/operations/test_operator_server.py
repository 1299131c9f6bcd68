"""Tests of the operators' server."""

from typing import Any

import aiohttp
import msgspec
import pytest
from prometheus_client import CollectorRegistry, Counter

from pollenloom.configuration.configuration import Configuration
from pollenloom.core.ids import Revision, VmId
from pollenloom.core.states import DataCentreState
from pollenloom.kernel.kernel_phase import KernelPhase
from pollenloom.observability.metrics_source import MetricsHolder
from pollenloom.operations.bearer_token import BearerToken
from pollenloom.operations.router_status import RouterStatus
from tests.operations.fakes import (
    ALMELO,
    HENGELO,
    FakeAdmission,
    FakeFleetState,
)
from tests.operations.fleet_fixtures import OperatorRouter

Routers = list[OperatorRouter]


async def get_json(
    operator: aiohttp.ClientSession,
    url: str,
    expected_status: int = 200,
) -> Any:
    async with operator.get(url) as response:
        assert response.status == expected_status
        return await response.json(content_type=None)


async def test_status_merges_all_routers(
    routers: Routers,
    operator: aiohttp.ClientSession,
) -> None:
    """Guards against a status that shows only the asked router."""
    status = await get_json(operator, f'{routers[0].url}/status')
    assert status['asked'] == 'vm-1'
    assert status['not_answered'] == []
    assert status['waiting'] == 1 + 2 + 3
    assert all(member['answered'] for member in status['members'])
    # The status of vm-2 is used for the pool, since it is the owner.
    assert [pool['waiting'] for pool in status['pools']] == [2]
    assert status['servers'][0]['in_flight'] == 2
    assert status['accounts'][0]['served'] == 300
    # A request waits on one router only, so the counts are added up.
    assert status['accounts'][0]['waiting'] == 1 + 2 + 3
    assert status['configuration']['publisher'] == 'operator-1'
    assert status['moves'][0]['state'] == 'taken_back'
    assert status['moves'][0]['record']['reason'] == 'bad on route chat'


async def test_status_marks_routers_without_reply(
    routers: Routers,
    operator: aiohttp.ClientSession,
    fleet: FakeFleetState,
) -> None:
    """Guards against a frozen router that blocks the status of the others."""
    fleet.unresponsive.add(VmId('vm-3'))
    status = await get_json(operator, f'{routers[0].url}/status')
    assert status['not_answered'] == ['vm-3']
    members = {member['vm']: member for member in status['members']}
    assert members['vm-2']['answered']
    assert not members['vm-3']['answered']


async def test_drain_counts_routers_that_have_the_state(
    routers: Routers,
    operator: aiohttp.ClientSession,
    fleet: FakeFleetState,
) -> None:
    """Guards against a drain reported as done that a router missed (R4)."""
    fleet.unresponsive.add(VmId('vm-3'))
    url = f'{routers[0].url}/data-centres/{HENGELO}/drain'
    async with operator.post(url) as response:
        change = await response.json()
    assert change['routers'] == 3
    assert change['routers_with_state'] == 2
    assert change['missing'] == ['vm-3']
    assert routers[1].configuration.states == {HENGELO: DataCentreState.OUT}
    status = await get_json(operator, f'{routers[1].url}/status')
    states = {
        entry['data_centre']: entry['state'] for entry in status['data_centres']
    }
    assert states == {HENGELO: 'out', ALMELO: 'in_service'}


async def test_restore_reverts_a_drain(
    routers: Routers,
    operator: aiohttp.ClientSession,
) -> None:
    """Guards against a drain that cannot be reverted."""
    for action in ('drain', 'restore'):
        url = f'{routers[0].url}/data-centres/{ALMELO}/{action}'
        async with operator.post(url) as response:
            change = await response.json()
        assert change['routers_with_state'] == 3
    state = routers[2].configuration.data_centre_state(ALMELO)
    assert state is DataCentreState.IN_SERVICE


@pytest.mark.parametrize(
    ('path', 'status', 'hint'),
    [
        ('/data-centres/henglo/drain', 400, 'almelo, hengelo'),
        ('/data-centres/hengelo/stop', 404, 'drain, restore'),
        ('/data-centre/hengelo/drain', 404, 'not found'),
        ('/status', 400, 'not allowed'),
    ],
)
async def test_mistyped_change_is_rejected(
    routers: Routers,
    operator: aiohttp.ClientSession,
    path: str,
    status: int,
    hint: str,
) -> None:
    """Guards against a mistyped drain that succeeds without effect."""
    async with operator.post(f'{routers[0].url}{path}') as response:
        assert response.status == status
        problem = await response.json(content_type='application/problem+json')
    assert hint in problem['detail']


async def test_events_come_from_all_routers(
    routers: Routers,
    operator: aiohttp.ClientSession,
) -> None:
    """Guards against missing event records of other routers."""
    routers[2].events.record('grant_given', 'request-1', server='server-1')
    routers[0].events.record('request_done', 'request-1', status=200)
    routers[1].events.record('request_done', 'request-2', status=200)
    url = f'{routers[1].url}/events?subject=request-1'
    report = await get_json(operator, url)
    reported = [(event['vm'], event['event']) for event in report['events']]
    assert reported == [('vm-3', 'grant_given'), ('vm-1', 'request_done')]
    await get_json(operator, f'{routers[1].url}/events', expected_status=400)


@pytest.mark.parametrize('path', ['/status', '/metrics', '/events', '/none'])
@pytest.mark.parametrize('token', ['', 'Bearer wrong', 'Bearer é'])
async def test_token_is_required(
    routers: Routers,
    path: str,
    token: str,
) -> None:
    """Guards against access to operators' data without the token."""
    headers = {'Authorization': token} if token else {}
    async with aiohttp.ClientSession(headers=headers) as session:
        problem = await get_json(session, f'{routers[0].url}{path}', 401)
    assert problem['kind'] == 'unauthenticated'


def test_empty_token_file_is_rejected(tmp_path: Any) -> None:
    """Guards against an empty token file that gives everyone access."""
    path = tmp_path / 'token'
    path.write_text('\n', encoding='utf-8')
    with pytest.raises(ValueError, match='at least 8 characters'):
        BearerToken.from_file(path)


async def test_readiness_follows_the_life_cycle(routers: Routers) -> None:
    """Guards against callers sent to a router that is not ready.

    The load balancer must see when a router has no configuration or drains.
    """
    router = routers[0]
    async with aiohttp.ClientSession() as probe:
        await get_json(probe, f'{router.url}/readyz')
        router.configuration.configuration = Configuration(Revision(0), {})
        state = await get_json(probe, f'{router.url}/readyz', 503)
        assert state == {'state': 'no configuration is known yet'}
        assert await router.kernel.drain(timeout_seconds=5)
        state = await get_json(probe, f'{router.url}/readyz', 503)
        assert state == {'state': 'the router is draining'}
        assert await get_json(probe, f'{router.url}/healthz') == {
            'state': 'draining',
        }


async def test_metrics_include_the_registered_source(
    routers: Routers,
    operator: aiohttp.ClientSession,
) -> None:
    """Guards against metrics of services that are not exported."""
    registry = CollectorRegistry()
    Counter('requests', 'Requests.', registry=registry).inc()
    routers[0].kernel.register(MetricsHolder(registry))
    async with operator.get(f'{routers[0].url}/metrics') as response:
        text = await response.text()
    assert 'requests_total 1.0' in text


async def test_fault_is_logged_and_not_shown(
    routers: Routers,
    operator: aiohttp.ClientSession,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a fault that is not logged, or whose details are shown."""
    monkeypatch.delattr(routers[0].configuration, 'configuration')
    problem = await get_json(operator, f'{routers[0].url}/status', 500)
    assert problem['kind'] == 'internal'
    assert 'configuration' not in problem['detail']
    assert 'operator_request_failed GET /status' in caplog.text


async def test_metrics_include_the_router_state(
    routers: Routers,
    operator: aiohttp.ClientSession,
) -> None:
    """Guards against outages that metrics do not show."""
    async with operator.get(f'{routers[1].url}/metrics') as response:
        text = await response.text()
    for line in (
        'pollenloom_waiting_requests 2.0',
        'pollenloom_members{state="alive"} 3.0',
        'pollenloom_data_centre_in_service{data_centre="hengelo"} 1.0',
        'pollenloom_pool_epoch{pool="minutes/hengelo/0"} 3.0',
    ):
        assert line in text


def test_long_status_is_limited_to_fit_a_message() -> None:
    """Guards against a status with 10,000 accounts that cannot be sent."""
    admission = FakeAdmission(VmId('vm-1'), load=3).status(now=0)
    busy = admission.accounts[0]
    idle = msgspec.structs.replace(busy, waiting=0)
    accounts = (idle, idle, busy, idle)
    status = RouterStatus(
        vm=VmId('vm-1'),
        phase=KernelPhase.RUNNING,
        revision=Revision(1),
        admission=msgspec.structs.replace(admission, accounts=accounts),
        data_centres=(),
    )
    limited = status.limit_accounts(2)
    assert limited.admission.accounts == (busy, idle)
    assert limited.accounts_left_out == 2
    assert status.limit_accounts(4) is status
