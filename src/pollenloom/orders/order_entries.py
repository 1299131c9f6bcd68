"""Records of orders in the platform's log."""

import msgspec

from pollenloom.core.ids import ClaimId, VmId
from pollenloom.log_service.log_entry import LogEntry
from pollenloom.orders.order_key import OrderKey


class OrderClaim(msgspec.Struct, frozen=True, array_like=True):
    """Request of a router for the right to dispatch an order.

    Attributes:
        key: Key of the order.
        claim: Unique id of this claim.
        fingerprint: SHA-256 of method, path and body.
        vm: Router that will dispatch the order.
        validity_seconds: How long the claim is valid after its append; the
            claimant has concluded or abandoned the order by then.
    """

    key: OrderKey
    claim: ClaimId
    fingerprint: str
    vm: VmId
    validity_seconds: float


class OrderOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a dispatched order.

    Attributes:
        key: Key of the order.
        claim: Claim under which it was dispatched.
        known: False if it is not known whether the order was run.
        status: HTTP status of the response.
        headers: Headers of the response.
        body: Body of the response, empty if it was too large to record.
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
    """Release of a claim whose order the router has not dispatched.

    Attributes:
        key: Key of the order.
        claim: Claim under which the order will never be dispatched.
    """

    key: OrderKey
    claim: ClaimId


class OrderBatch(LogEntry, frozen=True, kw_only=True, tag='orders'):
    """Records of many orders in one append.

    The platform accepts several hundred appends a second from all routers
    together, so orders share appends.
    """

    claims: tuple[OrderClaim, ...] = ()
    outcomes: tuple[OrderOutcome, ...] = ()
    releases: tuple[OrderRelease, ...] = ()
