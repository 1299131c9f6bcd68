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

# Records older than this are not needed although the log may keep them: it
# bounds the memory of the index.
INDEX_WINDOW_SECONDS: Final = 3600.0
PRUNE_PERIOD_SECONDS: Final = 10.0


NEEDS_WHOLE_LOG: Final = frozenset(
    (ClaimVerdict.UNCLAIMED, ClaimVerdict.EXPIRED),
)


class ClaimCoordinator:
    """Keeps the index of the log and appends for others.

    Any router can serve as a desk, since the log decides; the routers of a
    data centre use its first log reader, which shares appends and has the
    index at hand.
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
        """Apply a record of the log and wake those who wait for it."""
        self.index.apply(offset, appended_at, batch)
        self.changed.set()
        self.changed = asyncio.Event()

    async def prune_regularly(self) -> None:
        """Forget old keys until cancelled."""
        while True:
            await asyncio.sleep(PRUNE_PERIOD_SECONDS)
            self.index.prune(self.horizon())

    def horizon(self) -> float:
        """Wall time from which on the index has all records."""
        retained_at = self.tail.earliest_retained_at
        if retained_at is None:
            return self.kernel.clock.wall()
        window_start = self.kernel.clock.wall() - INDEX_WINDOW_SECONDS
        return max(retained_at, window_start)

    async def answer_claim(
        self,
        sender: 'VmId',
        message: ClaimOrder,
    ) -> ClaimReply:
        """Decide a claim; append it if its key is free."""
        del sender
        claim = message.claim
        decision = self.decide(claim)
        # What is known of a key stays true during an outage. That a key is
        # free, or too old, can only be told at the end of the log.
        if not self.tail.caught_up and decision.verdict in NEEDS_WHOLE_LOG:
            return ClaimReply(self.doubt())
        if decision.verdict is ClaimVerdict.UNCLAIMED:
            await self.batcher.append(claim)
            decision = self.decide(claim)
        if decision.verdict is ClaimVerdict.IN_PROGRESS:
            decision = await self.wait_for_outcome(claim, message.wait_seconds)
        return await self.make_answer(claim, decision)

    def doubt(self) -> ClaimVerdict:
        """Return why a key without a record cannot be claimed now.

        A desk that has read nothing since its start knows no earlier call.
        """
        if self.tail.earliest_retained_at is None:
            return ClaimVerdict.UNSURE
        return ClaimVerdict.UNAVAILABLE

    async def answer_conclusion(
        self,
        sender: 'VmId',
        message: ConcludeOrder,
    ) -> ConcludeReply:
        """Record the outcome or the release of a claim."""
        del sender
        entry = message.outcome or message.release
        if entry is None:
            return ConcludeReply(recorded=False)
        return ConcludeReply(recorded=await self.batcher.append(entry))

    def decide(self, claim: OrderClaim) -> ClaimDecision:
        """Return the decision of the index now."""
        return self.index.decide(
            claim,
            self.kernel.clock.wall(),
            self.horizon(),
            self.is_live,
        )

    def is_live(self, vm: 'VmId') -> bool:
        """Whether a router is alive, as far as this one knows."""
        return vm in self.membership.live()

    async def wait_for_outcome(
        self,
        claim: OrderClaim,
        wait_seconds: float,
    ) -> ClaimDecision:
        """Wait while an earlier call is in progress."""
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

    async def make_answer(
        self,
        claim: OrderClaim,
        decision: ClaimDecision,
    ) -> ClaimReply:
        """Return the answer to a claim, with the outcome for a replay."""
        if decision.verdict is ClaimVerdict.UNCLAIMED:
            return ClaimReply(ClaimVerdict.UNAVAILABLE)
        if decision.outcome_at is None:
            return ClaimReply(decision.verdict)
        outcome = await self.read_outcome(claim, decision.outcome_at)
        if outcome is None:
            # "Unavailable" would be told to the caller as not run.
            return ClaimReply(ClaimVerdict.UNKNOWN)
        return ClaimReply(ClaimVerdict.REPLAY, outcome)

    async def read_outcome(
        self,
        claim: OrderClaim,
        offset: Offset,
    ) -> OrderOutcome | None:
        """Read an outcome from the log; the index holds only its offset."""
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
