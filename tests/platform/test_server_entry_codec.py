"""Tests of the entries of backend servers, also malformed ones."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import ServerId
from pollenloom.platform.server_entry_codec import decode_server_entry
from tests.fakes.odd_records import (
    ODD_VALUES,
    arbitrary_records,
    encode_record,
)

SERVER = ServerId('i-1')
ENTRY = {
    'service': 'answers',
    'address': '10.0.0.1:8080',
    'zone': 'enschede',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_remaining_ms': 1500,
    'seq': 3,
    'born': 1_700_000_000_000,
}
DEEP_ENTRY = encode_record(ENTRY, unknown=ODD_VALUES['deep list'])


def test_entry_is_read() -> None:
    """Guards against milliseconds read as seconds."""
    entry = decode_server_entry(SERVER, msgspec.json.encode(ENTRY)).ok
    assert entry.cold_seconds == pytest.approx(1.5)
    assert entry.started_at == 1_700_000_000
    assert not entry.is_leaving


def test_draining_entry_is_leaving() -> None:
    """Guards against new requests to a draining server."""
    payload = msgspec.json.encode({**ENTRY, 'state': 'draining'})
    assert decode_server_entry(SERVER, payload).ok.is_leaving


@given(arbitrary_records(ENTRY))
def test_odd_entry_is_an_entry_or_an_error(payload: bytes) -> None:
    """Guards against an odd entry that ends the reading task."""
    decoded = decode_server_entry(SERVER, payload)
    assert decoded.is_ok() or decoded.error.detail


@pytest.mark.parametrize('payload', [DEEP_ENTRY, b'[' * 5000])
def test_deep_entry_is_rejected(payload: bytes) -> None:
    """Guards against an entry whose nesting ends the reading task."""
    assert decode_server_entry(SERVER, payload).is_error()


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('slots', b'9' * 400),
        ('slots', b'0'),
        ('slots', b'65537'),
        ('cold_remaining_ms', b'1e308'),
        ('cold_remaining_ms', b'86400001'),
        ('born', b'9' * 400),
        ('born', b'-1'),
        ('born', b'253402300800000'),
        ('address', b'"10.0.0.1:99999"'),
        ('address', b'"10.0.0.1:65536"'),
        ('address', b'"10.0.0.1:0"'),
        ('address', b'"10.0.0.1:00080"'),
        ('address', b'"999.9.9.9:80"'),
        ('address', b'"10.0.0.01:80"'),
        ('address', rb'"10.0.0.1:80\n"'),
        ('address', '"\u0661\u0660.0.0.1:80"'.encode()),
        ('address', '"10.0.0.1:\u0668\u0660"'.encode()),
        ('address', b'"0.0.0.0:80"'),
        ('address', b'"224.0.0.1:80"'),
        ('address', b'"255.255.255.255:80"'),
    ],
)
def test_entry_with_a_value_out_of_range_is_rejected(
    field: str, value: bytes
) -> None:
    """Guards against an entry that is taken as valid and raises later."""
    payload = encode_record(ENTRY, **{field: value})
    assert decode_server_entry(SERVER, payload).is_error()


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('slots', b'65536'),
        ('cold_remaining_ms', b'86400000'),
        ('born', b'0'),
        ('address', b'"10.0.0.1:1"'),
        ('address', b'"127.0.0.1:65535"'),
    ],
)
def test_entry_with_a_value_at_its_bound_is_read(
    field: str, value: bytes
) -> None:
    """Guards against bounds that leave out a sound server."""
    payload = encode_record(ENTRY, **{field: value})
    assert decode_server_entry(SERVER, payload).is_ok()


@given(
    field=st.sampled_from(sorted(set(ENTRY) - {'born'})),
    invalid=st.sampled_from((None, [], {}, -1.5, 'x y')),
)
def test_entry_with_an_invalid_field_is_rejected(
    field: str,
    invalid: object,
) -> None:
    """Guards against requests to a server that an invalid entry names.

    Other programs may write entries with missing or malformed fields.
    """
    texts = {'service', 'zone', 'version'}
    if field in texts and invalid == 'x y':
        return
    payload = msgspec.json.encode({**ENTRY, field: invalid})
    assert decode_server_entry(SERVER, payload).is_error()
