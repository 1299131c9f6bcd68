"""Tests of the fleet directory from records in the store."""

import msgspec
import pytest

from pollenloom.catalogue.store_fleet_directory import StoreFleetDirectory
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
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
