"""Response to a call that may not be repeated."""

import msgspec


class OrderResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Complete response of the backend server that ran an order.

    Attributes:
        status: HTTP status code of the backend server.
        headers: Headers to pass on, lower-case names.
        body: Body bytes.
        replayed: Whether this is the recorded response to an earlier call
            with the same key.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    replayed: bool
