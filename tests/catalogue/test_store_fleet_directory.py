"""Tests of the fleet directory from records in the store."""

import asyncio

import msgspec
import pytest

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.listing_kind import ListingKind
from pollenloom.catalogue.router_announcer import RouterAnnouncer
from pollenloom.catalogue.store_fleet_directory import StoreFleetDirectory
from pollenloom.core.ids import Offset, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.observability.event_log import EventLog
from pollenloom.platform.store_client import StoreClient
from tests.admission.simulated_loop import simulate
from tests.fakes.odd_records import ODD_VALUES, encode_record
from tests.fakes.router_fixtures import make_settings

ADDRESS = '127.0.0.1:7401'
NOW = 10.0
FIELDS = {'peers': ADDRESS, 'data_centre': 'almelo', 'capacity': 1.0}


@pytest.fixture
def fleet_directory() -> StoreFleetDirectory:
    """A fleet directory that knows only its own router."""
    return StoreFleetDirectory(Kernel(), make_settings('vm-b'))


def known_routers(fleet_directory: StoreFleetDirectory) -> list[str]:
    """Return the sorted ids of the known routers."""
    return sorted(router.vm for router in fleet_directory.routers())


def record(**changes: object) -> bytes:
    """Return the record of a router."""
    return msgspec.json.encode({**FIELDS, **changes})


def test_router_joins_and_leaves(fleet_directory: StoreFleetDirectory) -> None:
    """Guards against counting a router that has announced that it stops."""
    fleet_directory.apply_record(VmId('vm-a'), record(), NOW)
    assert known_routers(fleet_directory) == ['vm-a', 'vm-b']
    fleet_directory.apply_record(VmId('vm-a'), record(is_leaving=True), NOW)
    assert known_routers(fleet_directory) == ['vm-b']


odd_payloads = [
    encode_record(FIELDS, unknown=ODD_VALUES['deep list']),
    encode_record(FIELDS, capacity=ODD_VALUES['many digits']),
    encode_record(FIELDS, is_leaving=b'3'),
]


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'{torn',
        b'\xff',
        record(peers=''),
        record(peers='10.0.0.1:x'),
        record(peers='10.0.0.1:-1'),
        record(peers='10.0.0.1:65536'),
        record(peers='10.0.0.1:' + '9' * 5000),
        record(peers='10.0.0.1:\u0668\u0660'),
        record(peers='999.9.9.9:80'),
        record(peers='router.example:80'),
        record(peers=':80'),
        record(capacity=-1),
        record(capacity=1e308),
        *odd_payloads,
    ],
)
def test_router_with_invalid_record_is_left_out(
    fleet_directory: StoreFleetDirectory,
    payload: bytes,
) -> None:
    """Guards against a record that ends the task that reads or uses it."""
    fleet_directory.apply_record(VmId('vm-a'), payload, NOW)
    assert known_routers(fleet_directory) == ['vm-b']


def test_local_router_stays(fleet_directory: StoreFleetDirectory) -> None:
    """Guards against a router that removes itself after an invalid record."""
    fleet_directory.apply_record(VmId('vm-b'), b'', NOW)
    assert known_routers(fleet_directory) == ['vm-b']


async def announce_to_failing_store(
    fleet_directory: StoreFleetDirectory, seconds: float
) -> list[float]:
    """Return when the record is written while every write fails."""
    written_at: list[float] = []
    loop = asyncio.get_running_loop()

    async def fail(*, is_leaving: bool) -> bool:
        """Fail to write."""
        assert not is_leaving
        written_at.append(loop.time())
        await asyncio.sleep(0)
        return False

    announcer = RouterAnnouncer(
        StoreClient('127.0.0.1:9', 1), fleet_directory.local_router, ADDRESS
    )
    announcer.write = fail  # type: ignore[method-assign]
    announcing = loop.create_task(
        announcer.announce(lambda: fleet_directory.announce_seconds)
    )
    await asyncio.sleep(seconds)
    announcing.cancel()
    return written_at


def test_store_that_is_down_gets_few_calls(
    fleet_directory: StoreFleetDirectory,
) -> None:
    """Guards against hundreds of routers that all repeat failed writes.

    On the small copy of carromwerk-large 127 of 403 writes of such records
    came in eight seconds, in which a third of the routers was turned away.
    """
    written_at = simulate(announce_to_failing_store(fleet_directory, 9))
    assert len(written_at) <= 8
    # A short outage must not keep a router out of the fleet for long.
    assert sum(at < written_at[0] + 1 for at in written_at) >= 2


def test_copy_from_before_does_not_bring_back_a_router_that_left(
    fleet_directory: StoreFleetDirectory,
) -> None:
    """Guards against turns at cold servers for a router that is gone."""
    fleet_directory.events = EventLog(fleet_directory.kernel.clock)
    fleet_directory.apply_record(VmId('vm-a'), record(), NOW)
    fleet_directory.apply_record(VmId('vm-a'), record(is_leaving=True), NOW)
    stored = KeyedRecord('vm-a', record(), Offset(3))
    fleet_directory.apply_listing(
        Listing((stored,), Offset(4)), ListingKind.RESTORED
    )
    assert known_routers(fleet_directory) == ['vm-b']
    fleet_directory.apply_listing(
        Listing((stored,), Offset(5)), ListingKind.CHANGES
    )
    assert known_routers(fleet_directory) == ['vm-a', 'vm-b']
