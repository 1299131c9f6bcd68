"""Tests which VMs read the log, and that each sees each record once."""

import asyncio
from collections.abc import AsyncIterator

import cbor2
import pytest

from pollenloom.core.ids import DataCentreId, Offset, VmId
from pollenloom.core.states import VmListState, VmRole
from pollenloom.log_service.log_entry import LogEntry, encode_entry
from pollenloom.log_service.reader_role import ReaderRole
from pollenloom.log_service.retained_time import RetainedTime
from pollenloom.log_service.vm_entry import VmEntry
from pollenloom.log_service.vm_list_codec import VM_LIST_KEY, decode_vm_list
from tests.fakes.memory_platform import MemoryPlatform
from tests.fakes.vm_services import VmFleet, VmServices
from tests.manual_clock import ManualClock


class SampleEntry(LogEntry, frozen=True, kw_only=True, tag='test_note'):
    """Record type that only the tests use."""

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
        SampleEntry,
        lambda offset, _, entry: seen.append((offset, entry.number)),
    )
    return seen


async def test_records_once_in_order_past_invalid_ones(fleet: VmFleet) -> None:
    """Guards against a record that stops the reading of the log.

    Records may be malformed, invalid or of a kind from a later version.
    """
    router = await fleet.start('vm1')
    seen = collect(router)
    invalid = cbor2.dumps({'kind': 'test_note', 'number': 'one'})
    payloads = (
        encode_entry(SampleEntry(number=1)),
        b'\xff',
        cbor2.dumps({'kind': 'from_a_later_version'}),
        invalid,
        encode_entry(SampleEntry(number=2)),
    )
    for payload in payloads:
        fleet.platform.add(payload)
    # Both calls run concurrently with the polling task of the reader.
    results = await asyncio.gather(
        router.log.read_until(Offset(4)),
        router.log.read_until(Offset(2)),
    )
    assert [result.is_ok() for result in results] == [True, True]
    assert seen == [(0, 1), (4, 2)]
    assert router.log.caught_up
    assert (await router.log.read_until(Offset(5))).is_error()


async def test_only_two_vms_of_a_data_centre_read(fleet: VmFleet) -> None:
    """Guards against a whole fleet that polls the platform.

    Another VM reads only after a log reader has failed.
    """
    routers = [await fleet.start(f'vm{number}') for number in range(4)]
    other = await fleet.start('vm9', 'hengelo')
    fleet.platform.add(encode_entry(SampleEntry(number=1)))
    await fleet.until(lambda: routers[1].log.position == 1)
    await fleet.until(lambda: other.log.position == 1)
    assert [router.log.is_reader for router in routers] == [
        *(True, True),
        *(False, False),
    ]
    assert routers[2].log.position == 0
    await fleet.kill(routers[0])
    await fleet.until(lambda: routers[2].log.position == 1)


async def test_gap_is_reported(fleet: VmFleet, clock: ManualClock) -> None:
    """Guards against decisions on orders and changes with records missing.

    Records are trimmed while the platform is unreachable for the router.
    """
    fleet.platform.add(encode_entry(SampleEntry(number=1)))
    router = await fleet.start('vm1')
    gaps: list[int] = []
    router.log.watch_gaps(gaps.append)
    await fleet.until(lambda: router.log.position == 1)
    assert router.log.earliest_retained_at == 0
    fleet.platform.down = True
    await fleet.until(lambda: 'platform_unreachable' in router.event_names)
    for number in (2, 3):
        fleet.platform.add(encode_entry(SampleEntry(number=number)))
        clock.advance(60)
    fleet.platform.down = False
    await fleet.until(lambda: router.log.position == 3)
    assert gaps == [2]
    first = fleet.platform.records[0]
    assert router.log.earliest_retained_at == first.appended_at


async def test_vm_list_is_put_when_it_changes(fleet: VmFleet) -> None:
    """Guards against sending a large register to the fleet every second.

    Each read returns a new time, but the entries change only now and then.
    """
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


def test_other_vms_read_after_the_reader_timeout() -> None:
    """Guards against a data centre where no VM reads the log.

    The log readers are live members but frozen, so that they do not report.
    """
    ranked = [VmId(name) for name in ('a', 'b', 'c', 'd')]
    third = ReaderRole(VmId('c'), now=0)
    fourth = ReaderRole(VmId('d'), now=0)
    assert not third.must_read(ranked, now=3)
    assert third.must_read(ranked, now=3.1)
    # The first VM that reaches the platform reports, so the others do not
    # read.
    assert not fourth.must_read(ranked, now=3.1)
    third.record_report(VmId('c'), now=3.1)
    fourth.record_report(VmId('c'), now=3.1)
    assert third.must_read(ranked, now=4)
    assert not fourth.must_read(ranked, now=6)
    third.record_report(VmId('a'), now=6)
    assert not third.must_read(ranked, now=7)


def test_retained_time_is_never_too_early() -> None:
    """Guards against treating a trimmed idempotency key as new.

    That happens if the retained time is earlier than the first retained record.
    """
    retained = RetainedTime()
    assert retained.complete_since() is None
    for offset, at in enumerate((0, 4, 6, 20)):
        retained.add(Offset(offset), at)
    expected = {0: 0, 1: 4, 2: 6, 3: 20, 4: None}
    for earliest, since in expected.items():
        retained.trim(Offset(earliest))
        assert retained.complete_since() == since
