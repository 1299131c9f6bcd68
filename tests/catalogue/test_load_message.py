"""Tests of the datagrams between routers, also of odd ones."""

import math
from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.catalogue.load_message import decode_message
from tests.catalogue.conftest import CatalogueFleet

LOADS = {'answers': {'unread': {'i-1': 100.0}, 'running': {'i-1': 1.0}}}
REPORT = {'type': 'report', 'router': 'vm-9', 'number': 1, 'loads': LOADS}
SUM = {'routers': 1, 'numbers': {'vm-9': 1}, 'loads': LOADS}
UPDATE = {'start': 0, 'next_offset': 1, 'age': 0.1, 'records': []}
FACT = {'fact_id': 'vm-9/1/1', 'key': 'i-1', 'age': 0.1}
LIMIT = {'server': 'i-1', 'started_at': 1.0, 'rate': 2.0}
MESSAGES = {
    'report': REPORT,
    'part': {
        'type': 'part',
        'router': 'vm-9',
        'data_centre': 'almelo',
        'part': SUM,
    },
    'sum': {'type': 'sum', 'router': 'vm-9', 'total': SUM},
    'news': {'type': 'news', 'router': 'vm-9', 'topics': {'servers': UPDATE}},
    'facts': {
        'type': 'facts',
        'router': 'vm-9',
        'limits': [{**FACT, 'content': LIMIT}],
    },
}
ODD_NUMBERS = (math.nan, math.inf, -math.inf, 1e308, 10**400, -(10**400))


def with_number(value: Any, path: tuple[str | int, ...], number: float) -> Any:
    """Return nested maps and lists with one number replaced."""
    if not path:
        return number
    changed: Any = value.copy()
    changed[path[0]] = with_number(value[path[0]], path[1:], number)
    return changed


NUMBERS = {
    'number of a report': ('report', ('number',)),
    'unread': ('report', ('loads', 'answers', 'unread', 'i-1')),
    'running': ('report', ('loads', 'answers', 'running', 'i-1')),
    'routers': ('sum', ('total', 'routers')),
    'running in a sum': (
        'sum',
        ('total', 'loads', 'answers', 'running', 'i-1'),
    ),
    'running in a part': (
        'part',
        ('part', 'loads', 'answers', 'running', 'i-1'),
    ),
    'start': ('news', ('topics', 'servers', 'start')),
    'next offset': ('news', ('topics', 'servers', 'next_offset')),
    'age of an update': ('news', ('topics', 'servers', 'age')),
    'age of a fact': ('facts', ('limits', 0, 'age')),
    'rate': ('facts', ('limits', 0, 'content', 'rate')),
}


@pytest.mark.parametrize('kind', MESSAGES)
def test_sound_message_is_read(kind: str) -> None:
    """Guards against bounds that leave out messages of routers."""
    assert decode_message(cbor2.dumps(MESSAGES[kind])).is_ok()


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('name', NUMBERS)
def test_message_with_an_odd_number_is_rejected(
    name: str, number: float
) -> None:
    """Guards against numbers that raise, or spread, where they are used."""
    kind, path = NUMBERS[name]
    content = cbor2.dumps(with_number(MESSAGES[kind], path, number))
    assert decode_message(content).is_error()


@given(
    st.one_of(
        st.binary(max_size=300),
        st.sampled_from((b'\x81', b'\xa1\x61a', b'\xd8\x1c\x81')).map(
            lambda start: start * 20_000
        ),
        st.sampled_from(sorted(MESSAGES)).flatmap(
            lambda kind: st.integers(0, 200).map(
                lambda end: cbor2.dumps(MESSAGES[kind])[:end]
            )
        ),
    )
)
def test_odd_datagram_is_a_message_or_an_error(content: bytes) -> None:
    """Guards against a datagram that raises in the event loop."""
    decoded = decode_message(content)
    assert decoded.is_ok() or decoded.error.detail


async def test_load_is_exchanged_past_odd_datagrams(
    fleet: CatalogueFleet,
) -> None:
    """Guards against a datagram after which a router reads no others."""
    await fleet.add(2)
    await fleet.wait_until_all_observe(1)
    exchange = fleet.exchange(fleet.kernels[0])
    sender = fleet.fleet_routers[1].address
    for kind, path in NUMBERS.values():
        for number in ODD_NUMBERS:
            content = cbor2.dumps(with_number(MESSAGES[kind], path, number))
            exchange.datagram_received(content, sender)
    await fleet.wait_until_all_observe(1)
