"""Costs of orders in the log and in the order index."""

from functools import partial
from typing import Final

import uuid_utils

from pollenloom.core.ids import ClaimId, Offset, ServiceId, VmId
from pollenloom.log_service.log_entry import decode_entry, encode_entry
from pollenloom.orders.order_entries import (
    OrderBatch,
    OrderClaim,
    OrderOutcome,
)
from pollenloom.orders.order_index import OrderIndex
from pollenloom.orders.order_key import OrderKey
from pollenloom_standins.capacity.service_files import account_name
from pollenloom_standins.capacity.slope_table import (
    SlopeTable,
    measure_memory,
    minimum_seconds,
)

BATCH_SIZES: Final = (1, 8, 32)
INDEX_SIZES: Final = (4000, 8000, 16_000)
INDEXED_BATCH_SIZE: Final = 16
# As long as the usual response to an order, a few hundred bytes of JSON.
RESPONSE_BODY: Final = b'x' * 300
MICROSECONDS_PER_SECOND: Final = 1e6
KIBIBYTE: Final = 1024
FINGERPRINT_DIGITS: Final = 64


def make_batch(orders: int) -> OrderBatch:
    """Return a batch with the claims and outcomes of new orders."""
    claims = tuple(make_claim(number) for number in range(orders))
    return OrderBatch(
        claims=claims,
        outcomes=tuple(
            OrderOutcome(
                key=claim.key,
                claim=claim.claim,
                known=True,
                status=201,
                headers={'content-type': 'application/json'},
                body=RESPONSE_BODY,
            )
            for claim in claims
        ),
    )


def make_claim(number: int) -> OrderClaim:
    """Return the claim of a new order."""
    return OrderClaim(
        key=OrderKey(
            ServiceId('timber'),
            account_name(number % 100),
            str(uuid_utils.uuid7()),
        ),
        claim=ClaimId(str(uuid_utils.uuid7())),
        fingerprint='f' * FINGERPRINT_DIGITS,
        vm=VmId('router-001'),
        validity_seconds=60,
    )


def measure_batches() -> SlopeTable:
    """Measure log records at each number of orders in a record."""
    table = SlopeTable('order records in the log', 'orders in a record')
    for orders in BATCH_SIZES:
        batch = make_batch(orders)
        payload = encode_entry(batch)
        table.rows[orders] = {
            'record bytes': len(payload),
            'encode us': MICROSECONDS_PER_SECOND
            * minimum_seconds(partial(encode_entry, batch)),
            'decode us': MICROSECONDS_PER_SECOND
            * minimum_seconds(partial(decode_entry, payload)),
        }
    return table


def measure_index() -> SlopeTable:
    """Measure the order index of a log reader at each number of orders.

    Raises:
        ValueError: If the index does not hold all orders.
    """
    table = SlopeTable('index of orders', 'orders in the index')
    for orders in INDEX_SIZES:
        records = make_records(orders)
        index, memory_bytes = measure_memory(partial(build_index, records))
        if len(index.records) != orders:
            raise ValueError('order index does not hold all orders')
        seconds = minimum_seconds(partial(build_index, records))
        table.rows[orders] = {
            'memory KiB': memory_bytes / KIBIBYTE,
            'decode and apply ms': seconds * MICROSECONDS_PER_SECOND / 1000,
        }
    return table


def make_records(orders: int) -> list[bytes]:
    """Return encoded log records: first all claims, then their outcomes."""
    batches = [
        make_batch(INDEXED_BATCH_SIZE)
        for _ in range(orders // INDEXED_BATCH_SIZE)
    ]
    claims = [OrderBatch(claims=batch.claims) for batch in batches]
    outcomes = [OrderBatch(outcomes=batch.outcomes) for batch in batches]
    return [encode_entry(batch) for batch in (*claims, *outcomes)]


def build_index(records: list[bytes]) -> OrderIndex:
    """Decode records and apply them to a new index."""
    index = OrderIndex()
    for offset, record in enumerate(records):
        entry = decode_entry(record)
        if isinstance(entry, OrderBatch):
            index.apply(Offset(offset), 0, entry)
    return index
