"""Responses of the application stand-in."""

import msgspec


class ApplicationResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Echo of a request.

    Attributes:
        request_id: Value of `X-Request-Id`.
        method: Method of the request.
        path: Path of the request with its query.
        body: Body of the request as text; bytes that are not UTF-8 are
            replaced.
        run: Number of the run on this server, from 1.
        version: Version of the service.
    """

    request_id: str
    method: str
    path: str
    body: str
    run: int
    version: str
