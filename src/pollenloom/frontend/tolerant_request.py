"""Requests whose target cannot be parsed."""

from typing import Any

from sanic import Request
from sanic.exceptions import BadURL


class TolerantRequest(Request):
    """Takes a target that cannot be parsed for a path without a route.

    Sanic builds its answer to such a request from the same target and fails
    again, so that the caller would get none.
    """

    __slots__ = ()

    def __init__(self, url_bytes: bytes, *fields: Any, **named: Any) -> None:
        try:
            super().__init__(url_bytes, *fields, **named)
        except BadURL:
            super().__init__(b'/', *fields, **named)
