"""Answers to orders, and their form in the log."""

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

# Outcomes share log records with others; larger bodies are not kept.
MAX_RECORDED_BODY_BYTES: Final = 131_072


def fail(kind: ErrorKind, detail: str) -> Result[OrderResponse, Failure]:
    """Return a failure."""
    return Error(Failure(kind, detail))


def fingerprint(request: 'CallerRequest') -> str:
    """Return the hash that tells a repeat from another call."""
    digest = hashlib.sha256()
    digest.update(f'{request.method} {request.path}\n'.encode())
    digest.update(request.body)
    return digest.hexdigest()


def make_outcome(claim: OrderClaim, answer: 'BackendResponse') -> OrderOutcome:
    """Return the record of an answer."""
    is_complete = len(answer.body) <= MAX_RECORDED_BODY_BYTES
    return OrderOutcome(
        key=claim.key,
        claim=claim.claim,
        known=True,
        status=answer.status,
        headers=dict(answer.headers),
        body=answer.body if is_complete else b'',
        complete=is_complete,
    )


def make_answer(answer: 'BackendResponse') -> OrderResponse:
    """Return the answer to the call that ran the order."""
    return OrderResponse(
        status=answer.status,
        headers=dict(answer.headers),
        body=answer.body,
        replayed=False,
    )


def replay(outcome: OrderOutcome) -> Result[OrderResponse, Failure]:
    """Return the recorded answer to a repeat."""
    if not outcome.complete:
        return fail(
            ErrorKind.ANSWER_CUT,
            'the order was run; its answer was too large to record',
        )
    return Ok(
        OrderResponse(
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body,
            replayed=True,
        ),
    )
