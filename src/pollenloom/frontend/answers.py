"""Answers of the front end as Sanic responses."""

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
    """Return an id that no other request has; it sorts by time."""
    return RequestId(str(uuid_utils.uuid7()))


def json_answer(
    content: object,
    headers: Mapping[str, str],
    status: int = 200,
) -> HTTPResponse:
    """Return an answer with a JSON body."""
    return HTTPResponse(
        body=msgspec.json.encode(content),
        status=status,
        headers=dict(headers),
        content_type=JSON_TYPE,
    )


def problem_answer(
    failure: Failure,
    request_id: RequestId,
    *,
    for_model: bool,
    headers: Mapping[str, str] | None = None,
) -> HTTPResponse:
    """Return the answer to a call that failed."""
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


def passed_answer(
    status: int,
    body: bytes,
    headers: Mapping[str, str],
    own_headers: Mapping[str, str],
) -> HTTPResponse:
    """Return the answer of a backend server."""
    merged = {**headers, **own_headers}
    return HTTPResponse(
        body=body,
        status=status,
        headers=merged,
        content_type=merged.get(CONTENT_TYPE, DEFAULT_TYPE),
    )
