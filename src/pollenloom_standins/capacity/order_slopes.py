"""Costs of orders in the log and in the index."""

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
    least_seconds,
    memory_of,
)

BATCHES: Final = (1, 8, 32)
INDEXED: Final = (4000, 8000, 16_000)
BATCH: Final = 16
# An answer to an order: a few hundred bytes of JSON.
ANSWER: Final = b'x' * 300
MICROSECONDS: Final = 1e6
KIBIBYTE: Final = 1024
FINGERPRINT_DIGITS: Final = 64


def make_batch(orders: int) -> OrderBatch:
    """Return claims and outcomes of orders."""
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
                body=ANSWER,
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
        lasts_seconds=60,
    )


def measure_batches() -> SlopeTable:
    """Measure records of several orders, claims with outcomes."""
    table = SlopeTable('order records in the log', 'orders in a record')
    for orders in BATCHES:
        batch = make_batch(orders)
        payload = encode_entry(batch)
        table.rows[orders] = {
            'record bytes': len(payload),
            'encode us': MICROSECONDS
            * least_seconds(partial(encode_entry, batch)),
            'decode us': MICROSECONDS
            * least_seconds(partial(decode_entry, payload)),
        }
    return table


def measure_index() -> SlopeTable:
    """Measure the index of a log reader."""
    table = SlopeTable('index of orders', 'orders in the index')
    for orders in INDEXED:
        records = make_records(orders)
        index, held_bytes = memory_of(partial(fill, records))
        if len(index.records) != orders:
            raise ValueError('the index lacks orders')
        seconds = least_seconds(partial(fill, records))
        table.rows[orders] = {
            'memory KiB': held_bytes / KIBIBYTE,
            'decode and apply ms': seconds * MICROSECONDS / 1000,
        }
    return table


def make_records(orders: int) -> list[bytes]:
    """Return records of the log with claims and, later, their outcomes."""
    batches = [make_batch(BATCH) for _ in range(orders // BATCH)]
    claims = [OrderBatch(claims=batch.claims) for batch in batches]
    outcomes = [OrderBatch(outcomes=batch.outcomes) for batch in batches]
    return [encode_entry(batch) for batch in (*claims, *outcomes)]


def fill(records: list[bytes]) -> OrderIndex:
    """Apply records to a new index."""
    index = OrderIndex()
    for offset, record in enumerate(records):
        entry = decode_entry(record)
        if isinstance(entry, OrderBatch):
            index.apply(Offset(offset), 0, entry)
    return index
