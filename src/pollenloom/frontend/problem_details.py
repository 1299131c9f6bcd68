"""Problem details (RFC 9457) of failed calls."""

import math
from typing import Final

import msgspec

from pollenloom.core.failure import Failure
from pollenloom.core.ids import RequestId

PROBLEM_TYPE: Final = 'application/problem+json'
DEFAULT_RETRY_SECONDS: Final = 1


class ModelError(msgspec.Struct, frozen=True):
    """The `error` object that clients of model routes read."""

    message: str
    type: str
    code: str
    param: str | None = None


class ProblemDetails(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error response (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str
    kind: str
    run: str
    request_id: RequestId
    error: ModelError | None = None


def make_problem(
    failure: Failure,
    request_id: RequestId,
    *,
    for_model: bool,
) -> ProblemDetails:
    """Return the problem details of a failure."""
    response = failure.response
    kind = failure.kind.value
    message = f'{response.title}: {failure.detail}'
    return ProblemDetails(
        type=f'urn:pollenloom:error:{kind}',
        title=response.title,
        status=response.status.value,
        detail=failure.detail,
        kind=kind,
        run=response.run.value,
        request_id=request_id,
        error=ModelError(message, kind, kind) if for_model else None,
    )


def encode_error_event(failure: Failure, request_id: RequestId) -> bytes:
    """Return the event that ends a stream that cannot be completed."""
    problem = make_problem(failure, request_id, for_model=False)
    error = msgspec.to_builtins(problem)
    error['message'] = f'{problem.title}: {problem.detail}'
    error['code'] = problem.kind
    return b'data: %b\n\n' % msgspec.json.encode({'error': error})


def retry_after(failure: Failure) -> int | None:
    """Return whole seconds to wait before a retry; None if none can succeed."""
    if not failure.response.retryable:
        return None
    seconds = failure.retry_after_seconds or DEFAULT_RETRY_SECONDS
    return max(math.ceil(seconds), 1)
