"""What a backend server of a round saw."""

import msgspec


class NodeRun(msgspec.Struct, kw_only=True):
    """One request that arrived at a backend server.

    Attributes:
        is_run: Whether the server began to work on it.
        is_sealed: Whether it answered to the end.
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
