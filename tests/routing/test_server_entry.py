"""Tests of the ranges of the values in server entries."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId
from pollenloom.routing.server_entry import (
    LATEST_START,
    MAX_COLD_SECONDS,
    MAX_SLOTS,
    ServerEntry,
)


@pytest.mark.parametrize(
    'name',
    [
        '',
        'i 1',
        'i-1\r\nX-Other: 1',
        'i-1\n',
        '\x00',
        '\u00e9',
        '\ufffd',
        'x' * 256,
    ],
)
def test_id_that_cannot_be_a_header_value_is_rejected(
    entry: ServerEntry, name: str
) -> None:
    """Guards against a key of another writer that adds headers to requests.

    The id of a server is a header value of each request to it.
    """
    with pytest.raises(ValueError, match='id'):
        replace(entry, server=ServerId(name))


@given(
    slots=st.integers(),
    cold_seconds=st.floats(),
    started_at=st.floats(),
    address=st.one_of(
        st.text(max_size=30), st.from_regex(r'\d{1,3}(\.\d{1,3}){3}:\d{1,6}')
    ),
)
def test_valid_entry_has_values_in_range(
    slots: int, cold_seconds: float, started_at: float, address: str
) -> None:
    """Guards against values that raise where they are used."""
    try:
        entry = ServerEntry(
            server=ServerId('i-1'),
            service=ServiceId('answers'),
            address=address,
            data_centre=DataCentreId('enschede'),
            version=VersionId('v1'),
            slots=slots,
            is_leaving=False,
            cold_seconds=cold_seconds,
            started_at=started_at,
        )
    except ValueError:
        return
    assert 1 <= entry.slots <= MAX_SLOTS
    assert 0 <= entry.cold_seconds <= MAX_COLD_SECONDS
    assert 0 <= entry.started_at < LATEST_START
    assert entry.address.isascii()
