"""HTTP responses of the operators' server."""

from http import HTTPStatus
from typing import Final

import msgspec
from sanic import HTTPResponse
from sanic.response import raw

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure

JSON_CONTENT_TYPE: Final = 'application/json'
PROBLEM_CONTENT_TYPE: Final = 'application/problem+json'


def json_response(content: msgspec.Struct) -> HTTPResponse:
    """Return a JSON response with a struct."""
    return raw(msgspec.json.encode(content), content_type=JSON_CONTENT_TYPE)


def state_response(state: str, status: HTTPStatus) -> HTTPResponse:
    """Return a JSON response with a state, for probes."""
    encoded = msgspec.json.encode({'state': state})
    return raw(encoded, status=status, content_type=JSON_CONTENT_TYPE)


def problem_response(failure: Failure) -> HTTPResponse:
    """Return a response with the problem details of a failure (RFC 9457)."""
    headers = {}
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        headers['WWW-Authenticate'] = 'Bearer'
    content = {
        'title': failure.response.title,
        'status': failure.response.status.value,
        'detail': failure.detail,
        'kind': failure.kind.value,
    }
    return raw(
        msgspec.json.encode(content),
        status=failure.response.status.value,
        headers=headers,
        content_type=PROBLEM_CONTENT_TYPE,
    )
