"""Writing of a router's own record to the platform's store."""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from absl import logging

from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.router_record import RouterRecord
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.routing.fleet_router import FleetRouter

# The time until a failed write is repeated doubles up to a part of the
# interval: a store that is down gets calls of hundreds of routers, and a record
# is only missed after `EXPIRY_INTERVALS`.
WRITE_RETRY_SECONDS: Final = 0.3
LONGEST_RETRY_PART: Final = 0.25


class RouterAnnouncer:
    """Writes the record of this router.

    Attributes:
        store: Store of the records.
        router: This router.
        peers: Address at which it receives load reports, `host:port`.
        is_lost: Set when the store may lack the record, since it has come back
            from an older copy.
    """

    def __init__(
        self, store: KeyedStore, router: FleetRouter, peers: str
    ) -> None:
        self.store = store
        self.router = router
        self.peers = peers
        self.is_lost = asyncio.Event()
        store.watch_era(self.is_lost.set)

    async def announce(self, interval: Callable[[], float]) -> None:
        """Write the record of this router periodically.

        `interval` returns the seconds between two records.
        """
        retry_seconds = WRITE_RETRY_SECONDS
        while True:
            if await self.write(is_leaving=False):
                retry_seconds = WRITE_RETRY_SECONDS
                await self.wait_until_lost(interval())
                continue
            await asyncio.sleep(retry_seconds)
            longest = interval() * LONGEST_RETRY_PART
            retry_seconds = min(2 * retry_seconds, longest)

    async def wait_until_lost(self, seconds: float) -> None:
        """Wait for some seconds, or until the store may lack the record."""
        self.is_lost.clear()
        try:
            async with asyncio.timeout(seconds):
                await self.is_lost.wait()
        except TimeoutError:
            return

    async def write_leaving(self) -> None:
        """Write a record that this router stops."""
        await self.write(is_leaving=True)

    async def write(self, *, is_leaving: bool) -> bool:
        """Write the record of this router; return whether it was stored."""
        local = self.router
        record = RouterRecord(
            self.peers,
            local.data_centre,
            local.capacity,
            is_leaving,
        )
        written = await self.store.put(
            StoreTopic.NODES,
            self.router.vm,
            msgspec.json.encode(record),
        )
        if written.is_error():
            logging.warning('census_write_failed %s', written.error.detail)
        return written.is_ok()
