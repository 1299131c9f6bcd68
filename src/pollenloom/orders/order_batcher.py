"""Batches the records of several orders into one append to the log."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pollenloom.core.error_kind import ErrorKind
from pollenloom.log_service.log_entry import encode_entry
from pollenloom.orders.order_entries import (
    OrderBatch,
    OrderClaim,
    OrderOutcome,
    OrderRelease,
)

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.log_service.log_tail import LogTail
    from pollenloom.log_service.platform import Platform
    from pollenloom.orders.order_index import OrderIndex

# 5 data centres with one coordinator each stay below 250 appends/s with this
# period; the platform accepts several hundred.
BATCH_SECONDS: Final = 0.02
MAX_BATCH_ITEMS: Final = 256
# How long to search the log for a batch whose append got no response.
RESOLVE_SECONDS: Final = 3.0
RESOLVE_PERIOD_SECONDS: Final = 0.1

BatchItem = OrderClaim | OrderOutcome | OrderRelease


@dataclass(slots=True)
class PendingItem:
    """An item that waits for its append.

    Attributes:
        entry: Item to append.
        applied: Resolves to whether the index is known to reflect the item.
    """

    entry: BatchItem
    applied: asyncio.Future[bool]


class OrderBatcher:
    """Appends items in batches, one append at a time."""

    def __init__(
        self,
        kernel: 'Kernel',
        platform: 'Platform',
        tail: 'LogTail',
        index: 'OrderIndex',
    ) -> None:
        self.kernel = kernel
        self.platform = platform
        self.tail = tail
        self.index = index
        self.pending: list[PendingItem] = []
        self.has_pending = asyncio.Event()

    async def append(self, entry: BatchItem) -> bool:
        """Append an item; return whether the index is known to reflect it."""
        applied: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending.append(PendingItem(entry, applied))
        self.has_pending.set()
        return await applied

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self.has_pending.wait()
            await asyncio.sleep(BATCH_SECONDS)
            batch = self.pending[:MAX_BATCH_ITEMS]
            self.pending = self.pending[MAX_BATCH_ITEMS:]
            if not self.pending:
                self.has_pending.clear()
            await self.append_batch(batch)

    async def append_batch(self, batch: list[PendingItem]) -> None:
        """Append one batch and resolve the future of each item."""
        await self.append_and_read(batch)
        for pending in batch:
            if not pending.applied.done():
                is_applied = self.index.reflects(pending.entry)
                pending.applied.set_result(is_applied)

    async def append_and_read(self, batch: list[PendingItem]) -> None:
        """Append one batch and read the log until it is applied."""
        appended = await self.platform.append(
            encode_entry(make_batch([pending.entry for pending in batch])),
        )
        if appended.is_ok():
            await self.tail.read_until(appended.ok)
            return
        if appended.error.kind is ErrorKind.PLATFORM_UNKNOWN:
            await self.resolve_batch(batch)

    async def resolve_batch(self, batch: list[PendingItem]) -> None:
        """Read the log until it shows a batch whose append got no response.

        Gives up after `RESOLVE_SECONDS`.
        """
        deadline = self.kernel.clock.monotonic() + RESOLVE_SECONDS
        while self.kernel.clock.monotonic() < deadline:
            await self.tail.read_until(self.tail.position)
            if all(self.index.reflects(pending.entry) for pending in batch):
                return
            await asyncio.sleep(RESOLVE_PERIOD_SECONDS)


def make_batch(entries: list[BatchItem]) -> OrderBatch:
    """Return one log record that holds all items."""
    return OrderBatch(
        claims=tuple(
            entry for entry in entries if isinstance(entry, OrderClaim)
        ),
        outcomes=tuple(
            entry for entry in entries if isinstance(entry, OrderOutcome)
        ),
        releases=tuple(
            entry for entry in entries if isinstance(entry, OrderRelease)
        ),
    )
