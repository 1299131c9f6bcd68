"""Complete response of a backend server."""

from collections.abc import Mapping
from dataclasses import dataclass

from pollenloom.core.ids import ServerId, VersionId


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendResponse:
    """Response that was read completely and validated.

    Attributes:
        status: HTTP status code.
        headers: Headers to forward to the caller, with lower-case names.
        body: Body; empty after a relayed event stream.
        server: Backend server that sent it.
        version: Version of the service that the server runs.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    server: ServerId
    version: VersionId
