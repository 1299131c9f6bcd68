"""Tests of load reports between routers, over real sockets."""

from pollenloom.catalogue.load_exchange import LARGEST_DIRECT_FLEET
from tests.catalogue.conftest import CatalogueFleet


async def test_small_fleet_reports_directly(fleet: CatalogueFleet) -> None:
    """Guards against routers that each fill the same server."""
    await fleet.add(4)
    await fleet.wait_until_all_observe(3)


async def test_large_fleet_observes_its_full_load(
    fleet: CatalogueFleet,
) -> None:
    """Guards against sums that omit or count twice a part of the fleet."""
    count = LARGEST_DIRECT_FLEET + 5
    await fleet.add(count)
    await fleet.wait_until_all_observe(count - 1)


async def test_lost_collector_is_replaced(fleet: CatalogueFleet) -> None:
    """Guards against a fleet that depends on one VM."""
    count = LARGEST_DIRECT_FLEET + 5
    await fleet.add(count)
    await fleet.wait_until_all_observe(count - 1)
    await fleet.stop_first()
    await fleet.wait_until_all_observe(count - 2)


async def test_invalid_datagram_changes_nothing(fleet: CatalogueFleet) -> None:
    """Guards against a router that any sender can stop by a bad datagram."""
    await fleet.add(2)
    await fleet.wait_until_all_observe(1)
    exchange = fleet.exchange(fleet.kernels[0])
    for content in (b'', b'\xff', b'\xa1\x61a\x01', b'\x9f' * 40):
        exchange.datagram_received(content, ('127.0.0.1', 9))
    await fleet.wait_until_all_observe(1)
