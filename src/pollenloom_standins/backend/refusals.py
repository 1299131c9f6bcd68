"""Responses to requests that are refused or fail."""

from enum import Enum, unique
from http import HTTPStatus

import msgspec
from aiohttp import web

from pollenloom_standins.serving.json_responses import json_response


@unique
class RefusalReason(Enum):
    """Why a backend server refuses a request.

    Attributes:
        COLD: It is beyond the cold slots during a cold start.
        FULL: Too many requests are in progress.
        LEAVING: The server takes no new work.
        FENCED: Its fencing number is lower than one received before.
    """

    COLD = 'cold'
    FULL = 'full'
    LEAVING = 'leaving'
    FENCED = 'fenced'


class BackendRefusal(msgspec.Struct, frozen=True):
    """Body of a response that states that the request was not run."""

    reason: RefusalReason
    run: str = 'no'


def refusal_response(reason: RefusalReason) -> web.Response:
    """Return a response that states that the request was not run."""
    if reason is RefusalReason.FENCED:
        return json_response(BackendRefusal(reason), HTTPStatus.CONFLICT)
    return json_response(BackendRefusal(reason), HTTPStatus.SERVICE_UNAVAILABLE)


def failure_response(message: str) -> web.Response:
    """Return a response that leaves open whether the request was run."""
    return json_response(
        {'error': {'message': message, 'type': 'server_error'}},
        HTTPStatus.INTERNAL_SERVER_ERROR,
    )
