"""Tests of the platform stand-in, its log and its fault selection."""

from pollenloom_standins.commands.platform_command import PlatformCommand
from pollenloom_standins.fault_sampler import FaultSampler, decrement_count
from pollenloom_standins.lagged_value import LaggedValue
from pollenloom_standins.platform.record_log import RecordLog
from tests.standins.conftest import Start


def test_expired_records_keep_their_offsets() -> None:
    """Guards against readers that cannot see that records have expired.

    A page has to name the earliest offset that is left, also if it is empty.
    """
    log = RecordLog(retention_seconds=10)
    for wall in (0, 5, 20):
        log.append(b'record', wall)
    page = log.read(0, 100, 20)
    assert [record.offset for record in page.records] == [2]
    assert (page.earliest, page.next, page.end) == (2, 3, 3)
    later = log.read(0, 100, 40)
    assert (later.earliest, later.next, later.records) == (3, 3, ())


def test_lagged_value_applies_after_the_lag() -> None:
    """Guards against a lag that shows new values early or drops needed ones."""
    lagged = LaggedValue('first', retention_seconds=60)
    lagged.put('second', now=10)
    assert lagged.with_lag(now=11, lag_seconds=2) == 'first'
    assert lagged.with_lag(now=12, lag_seconds=2) == 'second'
    lagged.put('third', now=100)
    assert lagged.with_lag(now=101, lag_seconds=2) == 'second'


async def test_vm_list_lags_behind_control(start: Start) -> None:
    """Guards against a VM list that shows changes before its lag."""
    platform = await start(PlatformCommand(list_lag_seconds=3600))
    entry = {
        'vm': 'router-1',
        'data_centre': 'cantel',
        'role': 'router',
        'state': 'live',
        'address': '127.0.0.1:9',
    }
    await platform.put('/control/vms/router-1', entry)
    await platform.put('/control/vms/router-1', entry | {'state': 'leaving'})
    assert (await platform.get('/vms'))['vms'][0]['state'] == 'live'
    await platform.set_faults(list_lag_seconds=0)
    assert (await platform.get('/vms'))['vms'][0]['state'] == 'leaving'


def test_fault_affects_fraction_of_calls() -> None:
    """Guards against fractions of faults that affect all calls or none."""
    sampler = FaultSampler(seed=1)
    hits = sum(sampler.applies(0.25, remaining_calls=0) for _ in range(1000))
    assert 200 < hits < 300
    assert not sampler.applies(0, remaining_calls=0)
    assert sampler.applies(0, remaining_calls=1)
    assert [decrement_count(count) for count in (2, 1, 0, -1)] == [1, 0, 0, -1]


async def test_unknown_fault_is_rejected(start: Start) -> None:
    """Guards against misspelt faults that a test assumes to be in force."""
    platform = await start(PlatformCommand())
    url = f'{platform.url}/control/faults'
    async with platform.session.put(url, json={'dwon': True}) as response:
        assert response.status == 400
