"""Sanic responses of the front end."""

from collections.abc import Mapping
from typing import Final

import msgspec
import uuid_utils
from sanic.response import HTTPResponse

from pollenloom.core.failure import Failure
from pollenloom.core.ids import RequestId
from pollenloom.frontend.problem_details import (
    PROBLEM_TYPE,
    make_problem,
    retry_after,
)

JSON_TYPE: Final = 'application/json'
CONTENT_TYPE: Final = 'content-type'
DEFAULT_TYPE: Final = 'application/octet-stream'


def new_request_id() -> RequestId:
    """Return a unique id (UUID version 7) that sorts by time."""
    return RequestId(str(uuid_utils.uuid7()))


def json_response(
    content: object,
    headers: Mapping[str, str],
    status: int = 200,
) -> HTTPResponse:
    """Return a response with a JSON body."""
    return HTTPResponse(
        body=msgspec.json.encode(content),
        status=status,
        headers=dict(headers),
        content_type=JSON_TYPE,
    )


def problem_response(
    failure: Failure,
    request_id: RequestId,
    *,
    for_model: bool,
    headers: Mapping[str, str] | None = None,
) -> HTTPResponse:
    """Return the problem details (RFC 9457) of a call that failed.

    `for_model` adds the `error` object that clients of model routes expect.
    """
    problem = make_problem(failure, request_id, for_model=for_model)
    merged = {**(headers or {}), 'x-request-id': str(request_id)}
    seconds = retry_after(failure)
    if seconds is not None:
        merged['retry-after'] = str(seconds)
    return HTTPResponse(
        body=msgspec.json.encode(problem),
        status=problem.status,
        headers=merged,
        content_type=PROBLEM_TYPE,
    )


def backend_response(
    status: int,
    body: bytes,
    headers: Mapping[str, str],
    router_headers: Mapping[str, str],
) -> HTTPResponse:
    """Return the response of a backend server with the router's headers."""
    merged = {**headers, **router_headers}
    return HTTPResponse(
        body=body,
        status=status,
        headers=merged,
        content_type=merged.get(CONTENT_TYPE, DEFAULT_TYPE),
    )
