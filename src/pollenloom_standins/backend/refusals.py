"""Answers to requests that are not run to their end."""

from enum import Enum, unique
from http import HTTPStatus

import msgspec
from aiohttp import web

from pollenloom_standins.serving.json_answers import json_answer


@unique
class RefusalReason(Enum):
    """Why a backend server does not run a request."""

    COLD = 'cold'
    FULL = 'full'
    LEAVING = 'leaving'
    FENCED = 'fenced'


class BackendRefusal(msgspec.Struct, frozen=True):
    """Body of an answer that proves that the request was not run."""

    reason: RefusalReason
    run: str = 'no'


def refusal_answer(reason: RefusalReason) -> web.Response:
    """Return an answer that says that the request was not run."""
    if reason is RefusalReason.FENCED:
        return json_answer(BackendRefusal(reason), HTTPStatus.CONFLICT)
    return json_answer(BackendRefusal(reason), HTTPStatus.SERVICE_UNAVAILABLE)


def failed_answer(message: str) -> web.Response:
    """Return an answer that does not say whether the request was run."""
    return json_answer(
        {'error': {'message': message, 'type': 'server_error'}},
        HTTPStatus.INTERNAL_SERVER_ERROR,
    )
