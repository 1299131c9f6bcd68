"""Requests whose target cannot be parsed."""

from typing import Any

from sanic import Request
from sanic.exceptions import BadURL


class TolerantRequest(Request):
    """Replaces a target that cannot be parsed by the path `/`.

    That path has no route, so the caller gets status 404. Sanic would build
    its response from the invalid target and fail again, without a response.
    """

    __slots__ = ()

    def __init__(self, url_bytes: bytes, *fields: Any, **named: Any) -> None:
        try:
            super().__init__(url_bytes, *fields, **named)
        except BadURL:
            super().__init__(b'/', *fields, **named)
