"""Entries of other writers that stand among sound ones in the store."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

import msgspec
import pytest

from pollenloom.catalogue.store_catalogue import StoreCatalogue
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.ids import ServerId
from pollenloom_standins.worker.responses import server_entry
from tests.catalogue.conftest import SERVER, SERVICE, CatalogueFleet
from tests.fakes.odd_records import odd_records

ADDRESS = '127.0.0.1:9'
ENTRY: Mapping[str, object] = MappingProxyType(
    {
        **msgspec.json.decode(server_entry(ADDRESS, service=SERVICE)),
        'born': 1_700_000_000_000,
    }
)
# Time in which the router has read everything that is in the store.
SETTLE_SECONDS = 1.0


async def write_odd_entries(fleet: CatalogueFleet) -> None:
    """Write an entry of every kind that only another writer leaves."""
    for number, payload in enumerate(odd_records(ENTRY).values()):
        await fleet.store.write('keyed.servers', f'odd-{number}', payload)
    for key in ('', 'a\r\nb', 'a b', 'x' * 255):
        await fleet.store.write('keyed.servers', key, b'[' * 5000)
    for key in ('', 'a\r\nb'):
        entry = server_entry(ADDRESS, service=SERVICE)
        await fleet.store.write('keyed.servers', key, entry)


def knows(catalogue: StoreCatalogue, *, is_leaving: bool) -> bool:
    """Whether the sound server is known in this state."""
    known = catalogue.directory.servers.get(SERVER)
    return known is not None and known.entry.is_leaving is is_leaving


async def test_entries_are_followed_past_odd_ones(
    fleet: CatalogueFleet,
) -> None:
    """Guards against one entry after which a router follows none."""
    await fleet.add(1)
    catalogue = fleet.catalogue(fleet.kernels[0])
    await write_odd_entries(fleet)
    await fleet.write_server()
    await fleet.wait_for(lambda: knows(catalogue, is_leaving=False))
    await write_odd_entries(fleet)
    await fleet.write_server(state='draining')
    await fleet.wait_for(lambda: knows(catalogue, is_leaving=True))


async def test_entries_are_listed_past_odd_ones(fleet: CatalogueFleet) -> None:
    """Guards against a router that cannot start with an odd entry in place."""
    await write_odd_entries(fleet)
    await fleet.write_server()
    await fleet.add(1)
    catalogue = fleet.catalogue(fleet.kernels[0])
    await fleet.wait_for(lambda: knows(catalogue, is_leaving=False))
    await fleet.write_server(state='draining')
    await fleet.wait_for(lambda: knows(catalogue, is_leaving=True))


async def test_odd_entries_are_not_read_again(fleet: CatalogueFleet) -> None:
    """Guards against a router that reads the same odd entry without end."""
    await fleet.add(1)
    catalogue = fleet.catalogue(fleet.kernels[0])
    await write_odd_entries(fleet)
    await fleet.write_server()
    await fleet.wait_for(lambda: knows(catalogue, is_leaving=False))
    await asyncio.sleep(SETTLE_SECONDS)
    end = fleet.store.topics['keyed.servers'].end
    before = fleet.store.calls['/log-read']
    await asyncio.sleep(SETTLE_SECONDS)
    assert fleet.store.last_read['keyed.servers'] == end
    assert fleet.store.calls['/log-read'] - before <= 4


async def test_odd_entry_changes_no_known_server(
    fleet: CatalogueFleet,
) -> None:
    """Guards against a sound server that an odd entry takes out of use."""
    await fleet.add(1)
    catalogue = fleet.catalogue(fleet.kernels[0])
    await fleet.write_server()
    await fleet.wait_for(lambda: knows(catalogue, is_leaving=False))
    for payload in odd_records(ENTRY).values():
        await fleet.store.write('keyed.servers', ServerId('i-2'), payload)
    await fleet.store.write('keyed.servers', SERVER, b'{' * 5000)
    await fleet.write_server(version='v2')
    await fleet.wait_for(
        lambda: catalogue.directory.servers[SERVER].entry.version == 'v2'
    )


async def test_odd_entries_are_logged_once_and_not_kept(
    fleet: CatalogueFleet, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a line and a copy of each heartbeat of a faulty writer."""
    await fleet.add(1)
    catalogue = fleet.catalogue(fleet.kernels[0])
    # Only changes have all records of a key.
    await fleet.wait_for(lambda: StoreTopic.SERVERS in catalogue.read_topics)
    for number in range(20):
        odd = server_entry('999.9.9.9:80', service=SERVICE, seq=number)
        await fleet.store.write('keyed.servers', 'odd', odd)
    await fleet.write_server()
    await fleet.wait_for(lambda: knows(catalogue, is_leaving=False))
    lines = [line for line in caplog.messages if 'record_rejected' in line]
    assert len(lines) == 1
    assert catalogue.rejected.count == 20
