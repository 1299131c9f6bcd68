"""HTTP answers of the operators' server."""

from http import HTTPStatus
from typing import Final

import msgspec
from sanic import HTTPResponse
from sanic.response import raw

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure

JSON: Final = 'application/json'
PROBLEM: Final = 'application/problem+json'


def struct_answer(content: msgspec.Struct) -> HTTPResponse:
    """Return a struct as JSON."""
    return raw(msgspec.json.encode(content), content_type=JSON)


def state_answer(state: str, status: HTTPStatus) -> HTTPResponse:
    """Return a state for probes."""
    encoded = msgspec.json.encode({'state': state})
    return raw(encoded, status=status, content_type=JSON)


def problem_answer(failure: Failure) -> HTTPResponse:
    """Return a failure as problem details (RFC 9457)."""
    headers = {}
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        headers['WWW-Authenticate'] = 'Bearer'
    content = {
        'title': failure.answer.title,
        'status': failure.answer.status.value,
        'detail': failure.detail,
        'kind': failure.kind.value,
    }
    return raw(
        msgspec.json.encode(content),
        status=failure.answer.status.value,
        headers=headers,
        content_type=PROBLEM,
    )
