"""One request as a backend server saw it."""

import msgspec


class NodeRun(msgspec.Struct, kw_only=True):
    """One request that arrived at a backend server.

    Attributes:
        request_id: Id that the caller gave the request.
        server: Id of the server.
        at: Wall time of the arrival in seconds.
        account: Client account that the node named.
        has_key: Whether the request had an API key.
        is_run: Whether the server began to run it.
        is_sealed: Whether the server sent a complete response.
        rate_limit: Limit that the server named then, in requests a second.
    """

    request_id: str
    server: str
    at: float
    start_line: str
    account: str
    has_key: bool
    body: bytes
    is_run: bool = True
    is_sealed: bool = False
    rate_limit: float | None = None
