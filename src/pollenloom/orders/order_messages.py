"""Messages between a router and the order desk of its data centre."""

from pollenloom.orders.claim_verdict import ClaimVerdict
from pollenloom.orders.order_entries import (
    OrderClaim,
    OrderOutcome,
    OrderRelease,
)
from pollenloom.peers.peer_message import PeerMessage


class ClaimOrder(PeerMessage, frozen=True, tag='claim_order'):
    """Asks for the right to dispatch an order.

    Attributes:
        claim: The claim.
        wait_seconds: How long to wait for the outcome of an earlier call.
    """

    claim: OrderClaim
    wait_seconds: float


class ClaimReply(PeerMessage, frozen=True, tag='claim_answer'):
    """Verdict on a claim.

    Attributes:
        verdict: What the claimant may do.
        outcome: Recorded outcome, for a replay.
    """

    verdict: ClaimVerdict
    outcome: OrderOutcome | None = None


class ConcludeOrder(PeerMessage, frozen=True, tag='conclude_order'):
    """Asks to record the end of a claim: its outcome or its release."""

    outcome: OrderOutcome | None = None
    release: OrderRelease | None = None


class ConcludeReply(PeerMessage, frozen=True, tag='conclude_answer'):
    """Tells whether the end of a claim is in the log."""

    recorded: bool
