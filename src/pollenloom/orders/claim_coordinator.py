"""Decides claims for the routers of a data centre."""

import asyncio
from typing import TYPE_CHECKING, Final

from pollenloom.core.ids import Offset
from pollenloom.log_service.log_entry import decode_entry
from pollenloom.orders.claim_decision import ClaimDecision
from pollenloom.orders.claim_verdict import ClaimVerdict
from pollenloom.orders.order_batcher import OrderBatcher
from pollenloom.orders.order_entries import (
    OrderBatch,
    OrderClaim,
    OrderOutcome,
)
from pollenloom.orders.order_index import OrderIndex
from pollenloom.orders.order_messages import (
    ClaimOrder,
    ClaimReply,
    ConcludeOrder,
    ConcludeReply,
)

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.log_service.log_tail import LogTail
    from pollenloom.log_service.platform import Platform
    from pollenloom.membership.membership import Membership

# Older records are left out of the index, even if the log still retains them.
# This bounds the memory of the index.
INDEX_WINDOW_SECONDS: Final = 3600.0
PRUNE_PERIOD_SECONDS: Final = 10.0

VERDICTS_NEEDING_FULL_LOG: Final = frozenset(
    (ClaimVerdict.UNCLAIMED, ClaimVerdict.EXPIRED),
)


class ClaimCoordinator:
    """Keeps the index of the log and appends records for other routers.

    Any router can serve as coordinator, since the order of the log decides.
    The routers of a data centre use its first log reader, which already has
    the index and batches the appends of all of them.

    Attributes:
        index: State of all keys, from the records of the log.
        batcher: Appends claims, outcomes and releases.
        changed: Set and replaced when a record of orders was applied.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        platform: 'Platform',
        tail: 'LogTail',
        membership: 'Membership',
    ) -> None:
        self.kernel = kernel
        self.platform = platform
        self.tail = tail
        self.membership = membership
        self.index = OrderIndex()
        self.batcher = OrderBatcher(kernel, platform, tail, self.index)
        self.changed = asyncio.Event()

    def start(self) -> None:
        """Follow the log and start appending."""
        self.tail.subscribe(OrderBatch, self.apply)
        self.kernel.spawn('order-batcher', self.batcher.run())
        self.kernel.spawn('order-index-pruning', self.prune_regularly())

    def apply(
        self,
        offset: Offset,
        appended_at: float,
        batch: OrderBatch,
    ) -> None:
        """Apply a record of the log and wake all tasks that wait for one."""
        self.index.apply(offset, appended_at, batch)
        self.changed.set()
        self.changed = asyncio.Event()

    async def prune_regularly(self) -> None:
        """Remove old keys from the index until cancelled."""
        while True:
            await asyncio.sleep(PRUNE_PERIOD_SECONDS)
            self.index.prune(self.horizon())

    def horizon(self) -> float:
        """Wall time (Unix seconds) from which on the index has all records."""
        retained_at = self.tail.earliest_retained_at
        if retained_at is None:
            return self.kernel.clock.wall()
        window_start = self.kernel.clock.wall() - INDEX_WINDOW_SECONDS
        return max(retained_at, window_start)

    async def handle_claim(
        self,
        sender: 'VmId',
        message: ClaimOrder,
    ) -> ClaimReply:
        """Decide a claim; append it if its key is free."""
        del sender
        claim = message.claim
        decision = self.decide(claim)
        # What the index holds about a key stays true during an outage of the
        # platform. Whether a key is free or too old is certain only once the
        # log was read to its end.
        if (
            not self.tail.caught_up
            and decision.verdict in VERDICTS_NEEDING_FULL_LOG
        ):
            return ClaimReply(self.unresolved_verdict())
        if decision.verdict is ClaimVerdict.UNCLAIMED:
            await self.batcher.append(claim)
            decision = self.decide(claim)
        if decision.verdict is ClaimVerdict.IN_PROGRESS:
            decision = await self.wait_for_outcome(claim, message.wait_seconds)
        return await self.make_reply(claim, decision)

    def unresolved_verdict(self) -> ClaimVerdict:
        """Return why a key without a record cannot be claimed now.

        A coordinator that has not read the log since its start does not
        know of any earlier call.
        """
        if self.tail.earliest_retained_at is None:
            return ClaimVerdict.INDEX_NOT_LOADED
        return ClaimVerdict.UNAVAILABLE

    async def handle_conclusion(
        self,
        sender: 'VmId',
        message: ConcludeOrder,
    ) -> ConcludeReply:
        """Record the outcome or the release of a claim, then reply."""
        del sender
        entry = message.outcome or message.release
        if entry is None:
            return ConcludeReply(recorded=False)
        return ConcludeReply(recorded=await self.batcher.append(entry))

    def decide(self, claim: OrderClaim) -> ClaimDecision:
        """Return the current decision of the index on a claim."""
        return self.index.decide(
            claim,
            self.kernel.clock.wall(),
            self.horizon(),
            self.is_live,
        )

    def is_live(self, vm: 'VmId') -> bool:
        """Whether a router is a live member in the view of this router."""
        return vm in self.membership.live()

    async def wait_for_outcome(
        self,
        claim: OrderClaim,
        wait_seconds: float,
    ) -> ClaimDecision:
        """Wait while an earlier call is in progress, up to `wait_seconds`.

        Returns:
            The latest decision; still `IN_PROGRESS` after a timeout.
        """
        deadline = self.kernel.clock.monotonic() + wait_seconds
        while True:
            decision = self.decide(claim)
            remaining = deadline - self.kernel.clock.monotonic()
            if decision.verdict is not ClaimVerdict.IN_PROGRESS:
                return decision
            if remaining <= 0:
                return decision
            await self.wait_for_change(min(remaining, 1))

    async def wait_for_change(self, timeout_seconds: float) -> None:
        """Wait for the next record of orders, or for the timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self.changed.wait()
        except TimeoutError:
            return

    async def make_reply(
        self,
        claim: OrderClaim,
        decision: ClaimDecision,
    ) -> ClaimReply:
        """Return the reply to a claim, with the outcome for a replay."""
        if decision.verdict is ClaimVerdict.UNCLAIMED:
            return ClaimReply(ClaimVerdict.UNAVAILABLE)
        if decision.outcome_at is None:
            return ClaimReply(decision.verdict)
        outcome = await self.read_outcome(claim, decision.outcome_at)
        if outcome is None:
            # `UNAVAILABLE` would tell the caller that the order was not run.
            return ClaimReply(ClaimVerdict.UNKNOWN)
        return ClaimReply(ClaimVerdict.REPLAY, outcome)

    async def read_outcome(
        self,
        claim: OrderClaim,
        offset: Offset,
    ) -> OrderOutcome | None:
        """Read an outcome from the log, since the index holds only its offset.

        Returns:
            None if the log cannot be read or has no such outcome.
        """
        page = await self.platform.read(offset, 1)
        if page.is_error():
            return None
        for record in page.ok.records:
            entry = decode_entry(record.payload)
            if record.offset != offset or not isinstance(entry, OrderBatch):
                continue
            for outcome in entry.outcomes:
                if outcome.key == claim.key:
                    return outcome
        return None
