"""Tests of the entries of backend servers, also malformed ones."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import ServerId
from pollenloom.platform.server_entry_codec import decode_server_entry
from tests.fakes.odd_records import (
    ODD_VALUES,
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


@given(st.binary(max_size=200))
def test_arbitrary_bytes_do_not_raise(payload: bytes) -> None:
    """Guards against a malformed record that ends the reading task."""
    decode_server_entry(SERVER, payload)


@pytest.mark.parametrize('payload', [DEEP_ENTRY, b'[' * 5000])
def test_deep_entry_is_rejected(payload: bytes) -> None:
    """Guards against an entry whose nesting ends the reading task."""
    assert decode_server_entry(SERVER, payload).is_error()


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
