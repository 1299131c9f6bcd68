"""Failures of the platform stand-in."""

from pollenloom_standins.commands.platform_command import PlatformCommand
from pollenloom_standins.fault_draw import FaultDraw, one_less
from pollenloom_standins.lagged_value import LaggedValue
from pollenloom_standins.platform.record_log import RecordLog
from tests.standins.conftest import Start


def test_expired_records_leave_their_offsets() -> None:
    """Guards against a reader that takes expired records for none at all."""
    log = RecordLog(retention_seconds=10)
    for wall in (0, 5, 20):
        log.append(b'record', wall)
    page = log.read(0, 100, 20)
    assert [record.offset for record in page.records] == [2]
    assert (page.earliest, page.next, page.end) == (2, 3, 3)
    later = log.read(0, 100, 40)
    assert (later.earliest, later.next, later.records) == (3, 3, ())


def test_readers_see_values_late() -> None:
    """Guards against a lag that shows new values or hides all."""
    lagged = LaggedValue('first', kept_seconds=60)
    lagged.put('second', now=10)
    assert lagged.seen(now=11, lag_seconds=2) == 'first'
    assert lagged.seen(now=12, lag_seconds=2) == 'second'
    lagged.put('third', now=100)
    assert lagged.seen(now=101, lag_seconds=2) == 'second'


async def test_vm_list_lags_behind_control(start: Start) -> None:
    """Guards against tests of a lagging list that lags nothing."""
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


def test_fraction_of_calls_is_hit() -> None:
    """Guards against fractions that hit all calls or none."""
    draw = FaultDraw(seed=1)
    hits = sum(draw.hits(0.25, next_calls=0) for _ in range(1000))
    assert 200 < hits < 300
    assert not draw.hits(0, next_calls=0)
    assert draw.hits(0, next_calls=1)
    assert [one_less(count) for count in (2, 1, 0, -1)] == [1, 0, 0, -1]


async def test_unknown_fault_is_refused(start: Start) -> None:
    """Guards against a misspelt fault that a test believes in."""
    platform = await start(PlatformCommand())
    url = f'{platform.url}/control/faults'
    async with platform.session.put(url, json={'dwon': True}) as response:
        assert response.status == 400
