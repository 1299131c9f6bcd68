"""Problems for errors that Sanic finds before a handler runs."""

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
from pollenloom.frontend.answers import new_request_id, problem_answer

CLIENT_ERRORS: Final = range(400, 500)
KINDS: Final = (
    (PayloadTooLarge, ErrorKind.BODY_TOO_LARGE),
    (NotFound, ErrorKind.UNKNOWN_ROUTE),
    (MethodNotAllowed, ErrorKind.UNKNOWN_ROUTE),
)


class ProblemHandler(ErrorHandler):
    """Answers errors in the form of all other failures."""

    def default(self, request: Request, exception: Exception) -> HTTPResponse:
        """Return the problem of an exception that no handler caught."""
        request_id = new_request_id()
        failure = classify(exception)
        if failure.kind is ErrorKind.INTERNAL:
            logging.error(
                'request_failed %s',
                request_id,
                exc_info=exception,
            )
        return problem_answer(
            failure,
            request_id,
            for_model=request.path.startswith('/v1/'),
        )


def classify(exception: Exception) -> Failure:
    """Return the failure of an exception."""
    for exception_type, kind in KINDS:
        if isinstance(exception, exception_type):
            return Failure(kind, str(exception))
    status = getattr(exception, 'status_code', None)
    if isinstance(exception, SanicException) and status in CLIENT_ERRORS:
        return Failure(ErrorKind.INVALID_REQUEST, str(exception))
    return Failure(ErrorKind.INTERNAL, type(exception).__name__)
