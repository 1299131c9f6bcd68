"""Independent list of every order that an application ran."""

import msgspec


class OrderRunRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One run of an order; an order that ran twice is listed twice.

    Attributes:
        key: Value of `Idempotency-Key`, if given.
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
    """Answer to `GET /control/orders`."""

    orders: tuple[OrderRunRecord, ...]


class OrderList:
    """Lists orders; with `deduplicates` a key runs only once."""

    def __init__(self, deduplicates: bool) -> None:
        self.deduplicates = deduplicates
        self.orders: list[OrderRunRecord] = []
        self.answers: dict[str, bytes] = {}

    def recorded_answer(self, key: str) -> bytes | None:
        """Return the first answer to a key that is not run again."""
        return self.answers.get(key) if self.deduplicates else None

    def add(self, order: OrderRunRecord, answer: bytes) -> None:
        """Add an order that runs."""
        self.orders.append(order)
        if order.key:
            self.answers[order.key] = answer
