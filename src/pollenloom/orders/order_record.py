"""Entry of the index for one order."""

from dataclasses import dataclass

from pollenloom.core.ids import ClaimId, Offset, VmId


@dataclass(slots=True)
class OrderRecord:
    """State of one key.

    Attributes:
        claimed_at: Platform time of the holder's claim, Unix seconds; before
            any claim, that of the first release.
        holder: Claim that holds the key; None after a release.
        vm: Router of the latest holder; None before any claim.
        fingerprint: Fingerprint of the holder's request.
        expires_at: Platform time at which the claim expires, Unix seconds.
        outcome_at: Offset of the record with the outcome.
        known: False if the recorded outcome says only that it is not known
            whether the order was run.
        released: Claims that were released and can never hold the key again.
    """

    claimed_at: float
    holder: ClaimId | None = None
    vm: VmId | None = None
    fingerprint: str = ''
    expires_at: float = 0
    outcome_at: Offset | None = None
    known: bool = True
    # The immutable default is shared: a separate empty set would be a quarter
    # of the memory of a record.
    released: frozenset[ClaimId] = frozenset()
