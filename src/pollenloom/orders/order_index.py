"""Who may dispatch an order, decided by the order of the log."""

from collections.abc import Callable
from sys import intern
from typing import Final

from pollenloom.core.ids import Offset, VmId
from pollenloom.orders.claim_decision import ClaimDecision
from pollenloom.orders.claim_verdict import ClaimVerdict
from pollenloom.orders.order_entries import (
    OrderBatch,
    OrderClaim,
    OrderOutcome,
    OrderRelease,
)
from pollenloom.orders.order_key import OrderKey, key_time
from pollenloom.orders.order_record import OrderRecord

# Callers' clocks may be off by this much. A key from further ahead would
# still look fresh after its records have been trimmed.
MAX_CLOCK_SKEW_SECONDS: Final = 60


class OrderIndex:
    """State of all keys whose records are retained.

    All readers that have applied the same records hold the same state: the
    first claim of a key that was not released holds it, and only the router
    of that claim may dispatch the order.
    """

    def __init__(self) -> None:
        self.records: dict[OrderKey, OrderRecord] = {}

    def apply(
        self,
        offset: Offset,
        appended_at: float,
        batch: OrderBatch,
    ) -> None:
        """Apply one record of the log; records come in order of offset."""
        for outcome in batch.outcomes:
            self.apply_outcome(offset, outcome)
        for release in batch.releases:
            self.apply_release(appended_at, release)
        for claim in batch.claims:
            self.apply_claim(appended_at, claim)

    def apply_claim(self, appended_at: float, claim: OrderClaim) -> None:
        """Let the claim hold its key unless another one does."""
        record = self.records.get(claim.key)
        if record is None:
            record = OrderRecord(claimed_at=appended_at)
            self.records[claim.key] = record
        # A claim can reach the log after its own release if the platform
        # was slow; its router has given up and will not dispatch.
        if record.holder is not None or claim.claim in record.released:
            return
        record.holder = claim.claim
        # A few hundred ids stand in many records.
        record.vm = VmId(intern(claim.vm))
        record.fingerprint = claim.fingerprint
        record.claimed_at = appended_at
        record.lasts_until = appended_at + claim.lasts_seconds

    def apply_outcome(self, offset: Offset, outcome: OrderOutcome) -> None:
        """Record the first outcome of the holder."""
        record = self.records.get(outcome.key)
        if record is None or record.holder != outcome.claim:
            return
        if record.outcome_at is None:
            record.outcome_at = offset
            record.known = outcome.known

    def apply_release(self, appended_at: float, release: OrderRelease) -> None:
        """Free the key if the claim holds it and was not dispatched."""
        record = self.records.get(release.key)
        if record is None:
            record = OrderRecord(claimed_at=appended_at)
            self.records[release.key] = record
        record.released |= {release.claim}
        if record.holder == release.claim and record.outcome_at is None:
            record.holder = None

    def decide(
        self,
        claim: OrderClaim,
        now: float,
        horizon: float,
        is_live: Callable[[VmId], bool],
    ) -> ClaimDecision:
        """Return what the claimant may do.

        Args:
            claim: The claim, whether or not it is in the log yet.
            now: Wall time, Unix seconds.
            horizon: Wall time from which on the index has all records.
            is_live: Whether a router is alive, as far as is known.
        """
        record = self.records.get(claim.key)
        if record is None or record.holder is None:
            return ClaimDecision(judge_age(claim.key, now, horizon))
        if record.holder == claim.claim:
            return ClaimDecision(ClaimVerdict.GRANTED)
        if record.fingerprint != claim.fingerprint:
            return ClaimDecision(ClaimVerdict.REUSED)
        if record.outcome_at is not None and record.known:
            return ClaimDecision(ClaimVerdict.REPLAY, record.outcome_at)
        if record.outcome_at is not None or now > record.lasts_until:
            return ClaimDecision(ClaimVerdict.UNKNOWN)
        if record.vm is None or not is_live(record.vm):
            return ClaimDecision(ClaimVerdict.UNKNOWN)
        return ClaimDecision(ClaimVerdict.IN_PROGRESS)

    def reflects(self, entry: OrderClaim | OrderOutcome | OrderRelease) -> bool:
        """Whether an item has been applied, or one that decides it."""
        record = self.records.get(entry.key)
        if record is None:
            return False
        if isinstance(entry, OrderClaim):
            return record.holder is not None or entry.claim in record.released
        if isinstance(entry, OrderRelease):
            return entry.claim in record.released
        return record.holder == entry.claim and record.outcome_at is not None

    def prune(self, horizon: float) -> None:
        """Forget keys whose records are older than `horizon`.

        A key that is pruned is also refused by its age from then on.
        """
        outdated = [
            key
            for key, record in self.records.items()
            if max(record.claimed_at, record.lasts_until) < horizon
        ]
        for key in outdated:
            del self.records[key]


def judge_age(key: OrderKey, now: float, horizon: float) -> ClaimVerdict:
    """Return whether a key without a holder may be claimed."""
    made_at = key_time(key.key)
    if made_at > now + MAX_CLOCK_SKEW_SECONDS:
        return ClaimVerdict.INVALID
    if made_at < horizon + MAX_CLOCK_SKEW_SECONDS and horizon > 0:
        return ClaimVerdict.EXPIRED
    return ClaimVerdict.UNCLAIMED
