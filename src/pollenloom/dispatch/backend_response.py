"""Whole answer of a backend server."""

from collections.abc import Mapping
from dataclasses import dataclass

from pollenloom.core.ids import ServerId, VersionId


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendResponse:
    """Answer that was read to its end and checked.

    Attributes:
        status: HTTP status code.
        headers: Headers to pass on to the caller, lower-case names.
        body: Body bytes.
        server: Backend server that gave it.
        version: Version of the service that the server runs.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    server: ServerId
    version: VersionId
