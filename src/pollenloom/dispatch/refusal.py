"""Refusals that prove that a backend server did not run a request."""

from http import HTTPStatus
from typing import Final

import msgspec
from absl import logging

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.states import Outcome, RunStatus
from pollenloom.dispatch.attempt_failure import AttemptFailure
from pollenloom.validation.untrusted_bytes import decode_json

REFUSAL_STATUSES: Final = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE.value,
        HTTPStatus.CONFLICT.value,
        HTTPStatus.TOO_MANY_REQUESTS.value,
    )
)


class RefusalBody(msgspec.Struct, frozen=True):
    """JSON body of a refusal.

    Attributes:
        run: Value of `RunStatus`.
        reason: Why the server refused; empty if not stated.
    """

    run: str
    reason: str = ''


def read_refusal(status: int, body: bytes) -> AttemptFailure | None:
    """Return the failure if a response proves that nothing was run.

    Returns None for any other response.
    """
    if status not in REFUSAL_STATUSES:
        return None
    decoded = decode_json(body, RefusalBody)
    if decoded.is_error():
        logging.info('refusal_not_read: %s', decoded.error.detail)
        return None
    refusal = decoded.ok
    if refusal.run != RunStatus.NO.value:
        return None
    return AttemptFailure(
        kind=ErrorKind.BACKEND_REFUSED,
        detail=f'the backend server refused: {refusal.reason or status}',
        run=RunStatus.NO,
        outcome=Outcome.REFUSED,
        # 409 rejects the fencing number, not the request.
        exclude_server=status != HTTPStatus.CONFLICT,
        server_cold=refusal.reason == 'cold',
        server_leaving=refusal.reason == 'leaving',
        server_fenced=status == HTTPStatus.CONFLICT,
    )
