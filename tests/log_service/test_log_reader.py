"""Who reads the log, and that no record is missed or seen twice."""

import asyncio
from collections.abc import AsyncIterator

import cbor2
import pytest

from pollenloom.core.ids import DataCentreId, Offset, VmId
from pollenloom.core.states import VmListState, VmRole
from pollenloom.log_service.log_entry import LogEntry, encode_entry
from pollenloom.log_service.reading_duty import ReadingDuty
from pollenloom.log_service.retained_time import RetainedTime
from pollenloom.log_service.vm_entry import VmEntry
from pollenloom.log_service.vm_list_codec import VM_LIST_KEY, decode_vm_list
from tests.fakes.memory_platform import MemoryPlatform
from tests.fakes.vm_services import VmFleet, VmServices
from tests.manual_clock import ManualClock


class Note(LogEntry, frozen=True, kw_only=True, tag='test_note'):
    """A record of the tests."""

    number: int
    data: bytes = b'\x00\xff'


@pytest.fixture
async def fleet(clock: ManualClock) -> AsyncIterator[VmFleet]:
    fleet = VmFleet(clock, MemoryPlatform(clock, retention_seconds=100))
    yield fleet
    await fleet.stop()


def collect(router: VmServices) -> list[tuple[int, int]]:
    seen: list[tuple[int, int]] = []
    router.log.subscribe(
        Note,
        lambda offset, _, entry: seen.append((offset, entry.number)),
    )
    return seen


async def test_records_once_in_order_past_broken_ones(fleet: VmFleet) -> None:
    """Guards against a record that stops the reading of the log."""
    router = await fleet.start('vm1')
    seen = collect(router)
    broken = cbor2.dumps({'kind': 'test_note', 'number': 'one'})
    payloads = (
        encode_entry(Note(number=1)),
        b'\xff',
        cbor2.dumps({'kind': 'from_a_later_version'}),
        broken,
        encode_entry(Note(number=2)),
    )
    for payload in payloads:
        fleet.platform.add(payload)
    # Both read at the same time as the reader's own task.
    answers = await asyncio.gather(
        router.log.read_until(Offset(4)),
        router.log.read_until(Offset(2)),
    )
    assert [answer.is_ok() for answer in answers] == [True, True]
    assert seen == [(0, 1), (4, 2)]
    assert router.log.caught_up
    assert (await router.log.read_until(Offset(5))).is_error()


async def test_only_two_vms_of_a_data_centre_read(fleet: VmFleet) -> None:
    """Guards against a platform that is read by the whole fleet."""
    routers = [await fleet.start(f'vm{number}') for number in range(4)]
    other = await fleet.start('vm9', 'hengelo')
    fleet.platform.add(encode_entry(Note(number=1)))
    await fleet.until(lambda: routers[1].log.position == 1)
    await fleet.until(lambda: other.log.position == 1)
    assert [router.log.is_reader for router in routers] == [
        *(True, True),
        *(False, False),
    ]
    assert routers[2].log.position == 0
    await fleet.kill(routers[0])
    await fleet.until(lambda: routers[2].log.position == 1)


async def test_gap_is_told(fleet: VmFleet, clock: ManualClock) -> None:
    """Guards against orders and changes judged with records missing."""
    fleet.platform.add(encode_entry(Note(number=1)))
    router = await fleet.start('vm1')
    gaps: list[int] = []
    router.log.watch_gaps(gaps.append)
    await fleet.until(lambda: router.log.position == 1)
    assert router.log.earliest_retained_at == 0
    fleet.platform.down = True
    await fleet.until(lambda: 'platform_unreachable' in router.event_names)
    for number in (2, 3):
        fleet.platform.add(encode_entry(Note(number=number)))
        clock.advance(60)
    fleet.platform.down = False
    await fleet.until(lambda: router.log.position == 3)
    assert gaps == [2]
    first = fleet.platform.records[0]
    assert router.log.earliest_retained_at == first.appended_at


async def test_vm_list_is_put_when_it_changes(fleet: VmFleet) -> None:
    """Guards against a large register that is spread once a second."""
    router = await fleet.start('vm1')
    await fleet.until(lambda: router.registers.get(VM_LIST_KEY))
    first = router.registers.known[VM_LIST_KEY]
    fleet.platform.vms = (
        VmEntry(
            vm=VmId('server1'),
            data_centre=DataCentreId('enschede'),
            role=VmRole.BACKEND,
            state=VmListState.LIVE,
            address='127.0.0.1:3',
        ),
    )
    await fleet.until(lambda: router.registers.known[VM_LIST_KEY] != first)
    register = router.registers.known[VM_LIST_KEY]
    assert decode_vm_list(register.payload).vms == fleet.platform.vms
    assert register.counter > first.counter


def test_others_read_after_three_seconds_of_silence() -> None:
    """Guards against a data centre whose frozen readers block the rest."""
    ranked = [VmId(name) for name in ('a', 'b', 'c', 'd')]
    third = ReadingDuty(VmId('c'), now=0)
    fourth = ReadingDuty(VmId('d'), now=0)
    assert not third.must_read(ranked, now=3)
    assert third.must_read(ranked, now=3.1)
    # The first one that gets through reports and spares the others.
    assert not fourth.must_read(ranked, now=3.1)
    third.note_report(VmId('c'), now=3.1)
    fourth.note_report(VmId('c'), now=3.1)
    assert third.must_read(ranked, now=4)
    assert not fourth.must_read(ranked, now=6)
    third.note_report(VmId('a'), now=6)
    assert not third.must_read(ranked, now=7)


def test_retained_time_is_never_too_early() -> None:
    """Guards against a key that is taken as new though it was trimmed."""
    retained = RetainedTime()
    assert retained.since() is None
    for offset, at in enumerate((0, 4, 6, 20)):
        retained.add(Offset(offset), at)
    expected = {0: 0, 1: 4, 2: 6, 3: 20, 4: None}
    for earliest, since in expected.items():
        retained.trim(Offset(earliest))
        assert retained.since() == since
