"""Records of orders in the platform's log."""

import msgspec

from pollenloom.core.ids import ClaimId, VmId
from pollenloom.log_service.log_entry import LogEntry
from pollenloom.orders.order_key import OrderKey


class OrderClaim(msgspec.Struct, frozen=True, array_like=True):
    """A router asks for the right to dispatch an order.

    Attributes:
        key: Order.
        claim: Unique id of this claim.
        fingerprint: SHA-256 of method, path and body.
        vm: Router that will dispatch it.
        lasts_seconds: Time after which the claimant is done with it.
    """

    key: OrderKey
    claim: ClaimId
    fingerprint: str
    vm: VmId
    lasts_seconds: float


class OrderOutcome(msgspec.Struct, frozen=True, array_like=True):
    """What became of a dispatched order.

    Attributes:
        key: Order.
        claim: Claim under which it was dispatched.
        known: False if it is not known whether the order was run.
        status: HTTP status of the answer.
        headers: Headers of the answer.
        body: Body of the answer, empty if it was too large to record.
        complete: Whether `body` is the whole body.
    """

    key: OrderKey
    claim: ClaimId
    known: bool
    status: int = 0
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: bytes = b''
    complete: bool = True


class OrderRelease(msgspec.Struct, frozen=True, array_like=True):
    """A router gives up a claim that it has not dispatched.

    Attributes:
        key: Order.
        claim: Claim that will never be dispatched.
    """

    key: OrderKey
    claim: ClaimId


class OrderBatch(LogEntry, frozen=True, kw_only=True, tag='orders'):
    """Records of many orders in one append.

    The platform takes several hundred appends a second for everyone, so
    orders share appends.
    """

    claims: tuple[OrderClaim, ...] = ()
    outcomes: tuple[OrderOutcome, ...] = ()
    releases: tuple[OrderRelease, ...] = ()
