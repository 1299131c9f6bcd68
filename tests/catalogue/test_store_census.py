"""Routers by their records in the store."""

import msgspec
import pytest

from pollenloom.catalogue.store_census import StoreCensus
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from tests.fakes.node_site import make_settings

ADDRESS = '127.0.0.1:7401'
NOW = 10.0


@pytest.fixture
def census() -> StoreCensus:
    """A census that has heard of its own router only."""
    return StoreCensus(Kernel(), make_settings('vm-b'))


def known(census: StoreCensus) -> list[str]:
    """Return the ids of the routers that are known."""
    return sorted(router.vm for router in census.routers())


def record(**changes: object) -> bytes:
    """Return the record of a router."""
    fields = {'peers': ADDRESS, 'data_centre': 'almelo', 'capacity': 1.0}
    return msgspec.json.encode({**fields, **changes})


def test_router_joins_and_leaves(census: StoreCensus) -> None:
    """Guards against a router that counts after it has said that it stops."""
    census.take_record(VmId('vm-a'), record(), NOW)
    assert known(census) == ['vm-a', 'vm-b']
    census.take_record(VmId('vm-a'), record(is_leaving=True), NOW)
    assert known(census) == ['vm-b']


@pytest.mark.parametrize(
    'payload',
    [b'', b'{torn', b'\xff', record(peers=''), record(peers='10.0.0.1:x')],
)
def test_unusable_record_is_left_out(
    census: StoreCensus,
    payload: bytes,
) -> None:
    """Guards against an address that ends the task which sends to it."""
    census.take_record(VmId('vm-a'), payload, NOW)
    assert known(census) == ['vm-b']


def test_own_router_stays(census: StoreCensus) -> None:
    """Guards against a router that leaves itself out by a foreign record."""
    census.take_record(VmId('vm-b'), b'', NOW)
    assert known(census) == ['vm-b']
