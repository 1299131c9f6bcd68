"""Tests of the decoding of bytes that other programs have written."""

import cbor2
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.error_kind import ErrorKind
from pollenloom.validation.untrusted_bytes import (
    MAX_DETAIL_LENGTH,
    decode_cbor,
    decode_json,
    validated,
)
from tests.fakes.odd_records import ODD_VALUES, arbitrary_records

FIELDS = {'name': 'a', 'count': 1, 'seconds': 0.5}


class Sample(msgspec.Struct, frozen=True):
    """A record with a field of each kind."""

    name: str
    count: int
    seconds: float


@given(arbitrary_records(FIELDS))
def test_odd_json_is_a_record_or_an_error(content: bytes) -> None:
    """Guards against a decoding error that ends the task that reads."""
    decoded = decode_json(content, Sample)
    if decoded.is_error():
        assert decoded.error.kind is ErrorKind.PROTOCOL_ERROR
        assert decoded.error.detail


@pytest.mark.parametrize('oddity', ['deep list', 'deep map'])
def test_deep_json_is_an_error(oddity: str) -> None:
    """Guards against the RecursionError of a value that is skipped."""
    content = b'{"name":"a","count":1,"seconds":1,"x":%b}' % ODD_VALUES[oddity]
    assert 'RecursionError' in decode_json(content, Sample).error.detail


@given(
    st.one_of(
        st.binary(max_size=200),
        st.sampled_from((b'\x81', b'\xa1', b'\xd8\x1c\x81', b'\xc4\x82')).map(
            lambda start: start * 5000
        ),
        st.dictionaries(
            st.sampled_from((*FIELDS, 'unknown')),
            st.sampled_from((10**400, -1, float('nan'), float('inf'), [], 'x')),
        ).map(lambda changes: cbor2.dumps({**FIELDS, **changes})),
    ),
)
def test_odd_cbor_is_a_record_or_an_error(content: bytes) -> None:
    """Guards against a datagram that raises in the task that receives it."""
    decoded = decode_cbor(content, Sample)
    assert decoded.is_ok() or decoded.error.kind is ErrorKind.PROTOCOL_ERROR


def test_detail_is_bounded() -> None:
    """Guards against log lines as long as what could not be decoded."""

    def decode() -> None:
        raise ValueError('x' * 100_000)

    assert len(validated(decode).error.detail) <= MAX_DETAIL_LENGTH


def test_other_errors_are_not_hidden() -> None:
    """Guards against a fault of the program that passes for odd bytes."""

    def decode() -> None:
        raise LookupError('a fault of the program')

    with pytest.raises(LookupError):
        validated(decode)
