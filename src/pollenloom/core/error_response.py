"""The HTTP response for an error kind."""

from dataclasses import dataclass
from http import HTTPStatus

from pollenloom.core.states import RunStatus


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP form of an error kind.

    Attributes:
        status: HTTP status code.
        title: Short text of the problem details (RFC 9457).
        run: Whether a backend server ran the request.
        retryable: Whether the same request may succeed later.
    """

    status: HTTPStatus
    title: str
    run: RunStatus = RunStatus.NO
    retryable: bool = False
