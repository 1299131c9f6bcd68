"""Index of claims, which decides by log order who may dispatch an order."""

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

# Largest accepted error of callers' clocks. A key with a later time would still
# look new after its records have been trimmed from the log.
MAX_CLOCK_SKEW_SECONDS: Final = 60


class OrderIndex:
    """State of all keys whose records are retained.

    All readers that have applied the same records have the same state. The
    first claim of a key that was not released holds the key, and only the
    router of that claim may dispatch the order.
    """

    def __init__(self) -> None:
        self.records: dict[OrderKey, OrderRecord] = {}

    def apply(
        self,
        offset: Offset,
        appended_at: float,
        batch: OrderBatch,
    ) -> None:
        """Apply one record of the log; must be called in order of offset."""
        for outcome in batch.outcomes:
            self.apply_outcome(offset, outcome)
        for release in batch.releases:
            self.apply_release(appended_at, release)
        for claim in batch.claims:
            self.apply_claim(appended_at, claim)

    def apply_claim(self, appended_at: float, claim: OrderClaim) -> None:
        """Let the claim hold its key unless another claim does."""
        record = self.records.get(claim.key)
        if record is None:
            record = OrderRecord(claimed_at=appended_at)
            self.records[claim.key] = record
        # With a slow platform, a claim can reach the log after its own
        # release; its router has abandoned it and will not dispatch.
        if record.holder is not None or claim.claim in record.released:
            return
        record.holder = claim.claim
        # Many records share a few hundred VM ids; interning saves memory.
        record.vm = VmId(intern(claim.vm))
        record.fingerprint = claim.fingerprint
        record.claimed_at = appended_at
        record.expires_at = appended_at + claim.validity_seconds

    def apply_outcome(self, offset: Offset, outcome: OrderOutcome) -> None:
        """Record the outcome if it is the first one of the holder."""
        record = self.records.get(outcome.key)
        if record is None or record.holder != outcome.claim:
            return
        if record.outcome_at is None:
            record.outcome_at = offset
            record.known = outcome.known

    def apply_release(self, appended_at: float, release: OrderRelease) -> None:
        """Free the key if the claim holds it and has no outcome."""
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
            horizon: Wall time from which on the index has all records; 0 if
                no record was ever trimmed.
            is_live: Whether a router is a live member of the fleet.
        """
        record = self.records.get(claim.key)
        if record is None or record.holder is None:
            return ClaimDecision(evaluate_key_age(claim.key, now, horizon))
        if record.holder == claim.claim:
            return ClaimDecision(ClaimVerdict.GRANTED)
        if record.fingerprint != claim.fingerprint:
            return ClaimDecision(ClaimVerdict.REUSED)
        if record.outcome_at is not None and record.known:
            return ClaimDecision(ClaimVerdict.REPLAY, record.outcome_at)
        if record.outcome_at is not None or now > record.expires_at:
            return ClaimDecision(ClaimVerdict.UNKNOWN)
        if record.vm is None or not is_live(record.vm):
            return ClaimDecision(ClaimVerdict.UNKNOWN)
        return ClaimDecision(ClaimVerdict.IN_PROGRESS)

    def reflects(self, entry: OrderClaim | OrderOutcome | OrderRelease) -> bool:
        """Whether the item, or another item that settles it, was applied.

        A claim is also settled if another claim holds the key.
        """
        record = self.records.get(entry.key)
        if record is None:
            return False
        if isinstance(entry, OrderClaim):
            return record.holder is not None or entry.claim in record.released
        if isinstance(entry, OrderRelease):
            return entry.claim in record.released
        return record.holder == entry.claim and record.outcome_at is not None

    def prune(self, horizon: float) -> None:
        """Remove keys whose records are older than `horizon`.

        From then on, `decide` rejects such a key because of its age.
        """
        outdated = [
            key
            for key, record in self.records.items()
            if max(record.claimed_at, record.expires_at) < horizon
        ]
        for key in outdated:
            del self.records[key]


def evaluate_key_age(key: OrderKey, now: float, horizon: float) -> ClaimVerdict:
    """Return the verdict on a key without a holder, by its age.

    Returns:
        `INVALID` for a key from the future, `EXPIRED` for one whose earlier
        records may be missing from the index, else `UNCLAIMED`.
    """
    created_at = key_time(key.key)
    if created_at > now + MAX_CLOCK_SKEW_SECONDS:
        return ClaimVerdict.INVALID
    if created_at < horizon + MAX_CLOCK_SKEW_SECONDS and horizon > 0:
        return ClaimVerdict.EXPIRED
    return ClaimVerdict.UNCLAIMED
