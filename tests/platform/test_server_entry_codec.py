"""Entries of backend servers, also such as other writers leave."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import ServerId
from pollenloom.platform.server_entry_codec import decode_server_entry

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


def test_entry_is_read() -> None:
    """Guards against units that are mixed up."""
    entry = decode_server_entry(SERVER, msgspec.json.encode(ENTRY)).ok
    assert entry.cold_seconds == pytest.approx(1.5)
    assert entry.started_at == 1_700_000_000
    assert not entry.is_leaving


def test_draining_entry_is_leaving() -> None:
    """Guards against work for a server that drains."""
    payload = msgspec.json.encode({**ENTRY, 'state': 'draining'})
    assert decode_server_entry(SERVER, payload).ok.is_leaving


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(payload: bytes) -> None:
    """Guards against a foreign record that ends the reading task."""
    decode_server_entry(SERVER, payload)


@given(
    field=st.sampled_from(sorted(set(ENTRY) - {'born'})),
    wrong=st.sampled_from((None, [], {}, -1.5, 'x y')),
)
def test_entry_with_a_wrong_field_names_no_server(
    field: str,
    wrong: object,
) -> None:
    """Guards against requests sent to what another writer made up."""
    texts = {'service', 'zone', 'version'}
    if field in texts and wrong == 'x y':
        return
    payload = msgspec.json.encode({**ENTRY, field: wrong})
    assert decode_server_entry(SERVER, payload).is_error()
