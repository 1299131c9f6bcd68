"""Conversion between responses to orders and their records in the log."""

import hashlib
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.orders.order_entries import OrderClaim, OrderOutcome
from pollenloom.orders.order_response import OrderResponse

if TYPE_CHECKING:
    from pollenloom.core.caller_request import CallerRequest
    from pollenloom.dispatch.backend_response import BackendResponse

# Several outcomes share one log record, so larger bodies are not recorded.
MAX_RECORDED_BODY_BYTES: Final = 131_072


def fail(kind: ErrorKind, detail: str) -> Result[OrderResponse, Failure]:
    """Return a failed result of this kind."""
    return Error(Failure(kind, detail))


def fingerprint(request: 'CallerRequest') -> str:
    """Return a hash that distinguishes a repeat from a different call.

    SHA-256 over method, path and body, hexadecimal.
    """
    digest = hashlib.sha256()
    digest.update(f'{request.method} {request.path}\n'.encode())
    digest.update(request.body)
    return digest.hexdigest()


def make_outcome(
    claim: OrderClaim, response: 'BackendResponse'
) -> OrderOutcome:
    """Return the record of a response, without a body that is too large."""
    is_complete = len(response.body) <= MAX_RECORDED_BODY_BYTES
    return OrderOutcome(
        key=claim.key,
        claim=claim.claim,
        known=True,
        status=response.status,
        headers=dict(response.headers),
        body=response.body if is_complete else b'',
        complete=is_complete,
    )


def make_response(response: 'BackendResponse') -> OrderResponse:
    """Return the response to the call that ran the order."""
    return OrderResponse(
        status=response.status,
        headers=dict(response.headers),
        body=response.body,
        replayed=False,
    )


def replay(outcome: OrderOutcome) -> Result[OrderResponse, Failure]:
    """Return the recorded response to a repeated call.

    Errors:
        RESPONSE_TRUNCATED if the body was too large to record.
    """
    if not outcome.complete:
        return fail(
            ErrorKind.RESPONSE_TRUNCATED,
            'the order was run; its response was too large to record',
        )
    return Ok(
        OrderResponse(
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body,
            replayed=True,
        ),
    )
