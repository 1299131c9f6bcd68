"""Decision on a claim."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import Offset
    from pollenloom.orders.claim_verdict import ClaimVerdict


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Verdict on a claim.

    Attributes:
        verdict: What the claimant may do.
        outcome_at: Offset of the recorded outcome, for a replay.
    """

    verdict: 'ClaimVerdict'
    outcome_at: 'Offset | None' = None
