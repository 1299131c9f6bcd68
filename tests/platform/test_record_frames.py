"""Tests of the binary records of the store."""

from itertools import starmap

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import Offset
from pollenloom.platform.record_frames import (
    PAGE_HEAD,
    decode_page,
    encode_record,
)

records = st.lists(
    st.tuples(st.text(min_size=1, max_size=20), st.binary(max_size=60)),
    max_size=8,
)


@given(records, st.integers(0, 1000))
def test_records_round_trip(pairs: list[tuple[str, bytes]], start: int) -> None:
    """Guards against shifted keys, values or offsets."""
    body = PAGE_HEAD.pack(start + len(pairs), 0)
    body += b''.join(starmap(encode_record, pairs))
    listing = decode_page(body, Offset(start)).ok
    found = [(record.key, record.payload) for record in listing.records]
    assert found == pairs
    assert listing.next_offset == start + len(pairs)


@given(records, st.integers(1, 40))
def test_truncated_page_is_rejected_or_ends_between_records(
    pairs: list[tuple[str, bytes]],
    cut: int,
) -> None:
    """Guards against a truncated record read as a complete one."""
    body = PAGE_HEAD.pack(len(pairs), 0)
    body += b''.join(starmap(encode_record, pairs))
    read = decode_page(body[:-cut], Offset(0))
    if read.is_ok():
        found = [(record.key, record.payload) for record in read.ok.records]
        assert found == pairs[: len(found)]


def test_dropped_records_are_a_gap() -> None:
    """Guards against records dropped by the store that go unnoticed."""
    assert decode_page(PAGE_HEAD.pack(9, 5), Offset(2)).ok.is_gap
