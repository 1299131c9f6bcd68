"""One router of a data centre reads the store for the others."""

import asyncio

from pollenloom.catalogue.keyed_record import KeyedRecord
from pollenloom.catalogue.load_exchange import LARGEST_DIRECT_FLEET
from pollenloom.catalogue.load_message import TopicUpdateMessage, encode_message
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_state import TopicUpdate
from pollenloom.core.ids import Offset, VmId
from tests.catalogue.conftest import SERVER, CatalogueFleet

COUNT = LARGEST_DIRECT_FLEET + 5
# Time within which a leaving server must get nothing new.
DRAIN_SECONDS = 2.0


def all_know(fleet: CatalogueFleet, *, is_leaving: bool) -> bool:
    """Whether all routers have the server's state."""
    for kernel in fleet.kernels:
        known = fleet.catalogue(kernel).directory.servers.get(SERVER)
        if known is None or known.entry.is_leaving is not is_leaving:
            return False
    return True


async def ready(fleet: CatalogueFleet) -> None:
    """Start a large fleet that knows one server."""
    await fleet.add(COUNT)
    await fleet.write_server()
    await fleet.wait_for(lambda: all_know(fleet, is_leaving=False))
    await fleet.all_see(COUNT - 1)
    # Reads that were begun before the first news end.
    await asyncio.sleep(2.5)


async def test_collectors_read_for_the_others(fleet: CatalogueFleet) -> None:
    """Guards against calls of the store that grow with the fleet."""
    await ready(fleet)
    before = fleet.store.calls['/log-read']
    for number in range(20):
        await fleet.write_server(seq=number)
        await asyncio.sleep(0.1)
    reads = fleet.store.calls['/log-read'] - before
    # Two data centres, two topics, at most 2.5 reads a second each.
    assert reads <= 2 * 2 * 2.5 * 2 * 1.5


async def test_news_reach_all_in_time(fleet: CatalogueFleet) -> None:
    """Guards against new work for a leaving server."""
    await ready(fleet)
    await fleet.write_server(state='draining')
    await fleet.wait_for(
        lambda: all_know(fleet, is_leaving=True),
        DRAIN_SECONDS,
    )


async def test_news_arrive_without_the_collector(fleet: CatalogueFleet) -> None:
    """Guards against routers that miss what a lost collector had to tell."""
    await ready(fleet)
    await fleet.lose_first()
    await fleet.write_server(state='draining')
    await fleet.wait_for(
        lambda: all_know(fleet, is_leaving=True),
        DRAIN_SECONDS,
    )


async def test_outage_ends_for_all(fleet: CatalogueFleet) -> None:
    """Guards against members that miss what an outage made lapse."""
    await ready(fleet)
    fleet.store.is_down = True
    await asyncio.sleep(2)
    fleet.store.is_down = False
    await fleet.store.write('keyed.servers', SERVER, b'')
    await asyncio.sleep(0.5)
    assert all_know(fleet, is_leaving=False)
    await fleet.write_server(seq=2)
    await asyncio.sleep(2.5)
    assert all_know(fleet, is_leaving=False)


async def test_news_of_a_stranger_are_not_used(fleet: CatalogueFleet) -> None:
    """Guards against entries that anyone can forge by a datagram."""
    await ready(fleet)
    kernel = fleet.kernels[0]
    record = KeyedRecord(SERVER, b'', Offset(1000))
    update = TopicUpdate(Offset(0), Offset(1001), 0, (record,))
    message = TopicUpdateMessage(VmId('vm-1'), {StoreTopic.SERVERS: update})
    exchange = fleet.exchange(kernel)
    exchange.datagram_received(encode_message(message), ('127.0.0.1', 9))
    assert all_know(fleet, is_leaving=False)
