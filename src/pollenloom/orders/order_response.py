"""Answer to a call that may not be repeated."""

import msgspec


class OrderResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Whole answer of the backend server that ran an order.

    Attributes:
        status: HTTP status code of the backend server.
        headers: Headers to pass on, lower-case names.
        body: Body bytes.
        replayed: Whether it was recorded by an earlier call with the key.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    replayed: bool
