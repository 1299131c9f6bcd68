"""Routers by their records in the store."""

import msgspec
import pytest

from pollenloom.catalogue.store_fleet_directory import StoreFleetDirectory
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from tests.fakes.node_site import make_settings

ADDRESS = '127.0.0.1:7401'
NOW = 10.0


@pytest.fixture
def fleet_directory() -> StoreFleetDirectory:
    """A census that has heard of its own router only."""
    return StoreFleetDirectory(Kernel(), make_settings('vm-b'))


def known(fleet_directory: StoreFleetDirectory) -> list[str]:
    """Return the ids of the routers that are known."""
    return sorted(router.vm for router in fleet_directory.routers())


def record(**changes: object) -> bytes:
    """Return the record of a router."""
    fields = {'peers': ADDRESS, 'data_centre': 'almelo', 'capacity': 1.0}
    return msgspec.json.encode({**fields, **changes})


def test_router_joins_and_leaves(fleet_directory: StoreFleetDirectory) -> None:
    """Guards against a router that counts after it has said that it stops."""
    fleet_directory.take_record(VmId('vm-a'), record(), NOW)
    assert known(fleet_directory) == ['vm-a', 'vm-b']
    fleet_directory.take_record(VmId('vm-a'), record(is_leaving=True), NOW)
    assert known(fleet_directory) == ['vm-b']


@pytest.mark.parametrize(
    'payload',
    [b'', b'{torn', b'\xff', record(peers=''), record(peers='10.0.0.1:x')],
)
def test_unusable_record_is_left_out(
    fleet_directory: StoreFleetDirectory,
    payload: bytes,
) -> None:
    """Guards against an address that ends the task which sends to it."""
    fleet_directory.take_record(VmId('vm-a'), payload, NOW)
    assert known(fleet_directory) == ['vm-b']


def test_own_router_stays(fleet_directory: StoreFleetDirectory) -> None:
    """Guards against a router that leaves itself out by a foreign record."""
    fleet_directory.take_record(VmId('vm-b'), b'', NOW)
    assert known(fleet_directory) == ['vm-b']
