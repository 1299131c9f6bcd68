"""Messages between a router and the claim coordinators of its data centre."""

from pollenloom.orders.claim_verdict import ClaimVerdict
from pollenloom.orders.order_entries import (
    OrderClaim,
    OrderOutcome,
    OrderRelease,
)
from pollenloom.peers.peer_message import PeerMessage


class ClaimOrder(PeerMessage, frozen=True, tag='claim_order'):
    """Request for the right to dispatch an order.

    Attributes:
        claim: Claim to append.
        wait_seconds: How long to wait for the outcome of an earlier call.
    """

    claim: OrderClaim
    wait_seconds: float


class ClaimReply(PeerMessage, frozen=True, tag='claim_answer'):
    """Reply with the verdict on a claim.

    Attributes:
        verdict: What the claimant may do.
        outcome: Recorded outcome; None unless the verdict is `REPLAY`.
    """

    verdict: ClaimVerdict
    outcome: OrderOutcome | None = None


class ConcludeOrder(PeerMessage, frozen=True, tag='conclude_order'):
    """Request to record the end of a claim.

    Attributes:
        outcome: Outcome of the order, if it was dispatched.
        release: Release of the claim, if it was not.
    """

    outcome: OrderOutcome | None = None
    release: OrderRelease | None = None


class ConcludeReply(PeerMessage, frozen=True, tag='conclude_answer'):
    """Reply to a request to record the end of a claim.

    Attributes:
        recorded: Whether the outcome or release is known to be in the log.
    """

    recorded: bool
