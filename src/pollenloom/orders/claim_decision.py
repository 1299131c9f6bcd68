"""Decision of the index on a claim."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import Offset
    from pollenloom.orders.claim_verdict import ClaimVerdict


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Verdict on a claim, and where its outcome is recorded.

    Attributes:
        verdict: What the claimant may do.
        outcome_at: Offset of the log record with the outcome; None unless
            the verdict is `REPLAY`.
    """

    verdict: 'ClaimVerdict'
    outcome_at: 'Offset | None' = None
