"""The application's own list of every order that it ran."""

import msgspec


class OrderRunRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One run of an order; an order that runs twice has two records.

    Attributes:
        key: Value of `Idempotency-Key`; empty if it is absent.
        body_hash: SHA-256 of the body, hexadecimal.
        request_id: Value of `X-Request-Id`.
        path: Path of the request.
        at: Wall time, seconds since the Unix epoch.
    """

    key: str
    body_hash: str
    request_id: str
    path: str
    at: float


class OrderReport(msgspec.Struct, frozen=True):
    """Response to `GET /control/orders`."""

    orders: tuple[OrderRunRecord, ...]


class OrderList:
    """Records orders; with `deduplicates` a key runs only once."""

    def __init__(self, deduplicates: bool) -> None:
        self.deduplicates = deduplicates
        self.orders: list[OrderRunRecord] = []
        self.responses: dict[str, bytes] = {}

    def recorded_response(self, key: str) -> bytes | None:
        """Return the recorded response to a key, None if the order runs."""
        return self.responses.get(key) if self.deduplicates else None

    def add(self, order: OrderRunRecord, response: bytes) -> None:
        """Add an order that runs, with its response."""
        self.orders.append(order)
        if order.key:
            self.responses[order.key] = response
