"""Load reports between routers, over sockets of this process."""

from pollenloom.catalogue.load_exchange import LARGEST_DIRECT_FLEET
from tests.catalogue.conftest import CatalogueFleet


async def test_small_fleet_tells_directly(fleet: CatalogueFleet) -> None:
    """Guards against routers that fill the same server."""
    await fleet.add(4)
    await fleet.all_see(3)


async def test_large_fleet_sees_all_of_its_load(fleet: CatalogueFleet) -> None:
    """Guards against sums that miss or double a part of the fleet."""
    count = LARGEST_DIRECT_FLEET + 5
    await fleet.add(count)
    await fleet.all_see(count - 1)


async def test_lost_collector_is_replaced(fleet: CatalogueFleet) -> None:
    """Guards against a fleet that depends on one machine."""
    count = LARGEST_DIRECT_FLEET + 5
    await fleet.add(count)
    await fleet.all_see(count - 1)
    await fleet.lose_first()
    await fleet.all_see(count - 2)


async def test_foreign_datagram_changes_nothing(fleet: CatalogueFleet) -> None:
    """Guards against a router that any sender can stop."""
    await fleet.add(2)
    await fleet.all_see(1)
    exchange = fleet.exchange(fleet.kernels[0])
    for content in (b'', b'\xff', b'\xa1\x61a\x01', b'\x9f' * 40):
        exchange.datagram_received(content, ('127.0.0.1', 9))
    await fleet.all_see(1)
