"""What the index keeps of one order."""

from dataclasses import dataclass

from pollenloom.core.ids import ClaimId, Offset, VmId


@dataclass(slots=True)
class OrderRecord:
    """State of one key.

    Attributes:
        claimed_at: Platform time of the holder's claim, Unix seconds.
        holder: Claim that holds the key; None after a release.
        vm: Router of the holder.
        fingerprint: Fingerprint of the holder's request.
        lasts_until: Platform time at which the holder is done, Unix seconds.
        outcome_at: Offset of the record with the outcome.
        known: False if the recorded outcome is that the fate is unknown.
        released: Claims that were given up and never count again.
    """

    claimed_at: float
    holder: ClaimId | None = None
    vm: VmId | None = None
    fingerprint: str = ''
    lasts_until: float = 0
    outcome_at: Offset | None = None
    known: bool = True
    # An empty set of its own would be a quarter of a record's memory.
    released: frozenset[ClaimId] = frozenset()
