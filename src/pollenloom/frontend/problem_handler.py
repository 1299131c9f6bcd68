"""Problem details for errors outside of the call handlers."""

from typing import Final

from absl import logging
from sanic import Request
from sanic.exceptions import (
    MethodNotAllowed,
    NotFound,
    PayloadTooLarge,
    SanicException,
)
from sanic.handlers import ErrorHandler
from sanic.response import HTTPResponse

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.frontend.responses import new_request_id, problem_response

CLIENT_ERROR_STATUSES: Final = range(400, 500)
KINDS_BY_EXCEPTION: Final = (
    (PayloadTooLarge, ErrorKind.BODY_TOO_LARGE),
    (NotFound, ErrorKind.UNKNOWN_ROUTE),
    (MethodNotAllowed, ErrorKind.UNKNOWN_ROUTE),
)


class ProblemHandler(ErrorHandler):
    """Responds to exceptions with problem details, as for all failures."""

    def default(self, request: Request, exception: Exception) -> HTTPResponse:
        """Return the response to an exception that no handler caught."""
        request_id = new_request_id()
        failure = classify(exception)
        if failure.kind is ErrorKind.INTERNAL:
            logging.error(
                'request_failed %s',
                request_id,
                exc_info=exception,
            )
        return problem_response(
            failure,
            request_id,
            for_model=request.path.startswith('/v1/'),
        )


def classify(exception: Exception) -> Failure:
    """Return the failure that corresponds to an exception."""
    for exception_type, kind in KINDS_BY_EXCEPTION:
        if isinstance(exception, exception_type):
            return Failure(kind, str(exception))
    status = getattr(exception, 'status_code', None)
    if (
        isinstance(exception, SanicException)
        and status in CLIENT_ERROR_STATUSES
    ):
        return Failure(ErrorKind.INVALID_REQUEST, str(exception))
    return Failure(ErrorKind.INTERNAL, type(exception).__name__)
