"""Tests of the usage that backend servers state, also of odd ones."""

import math

import pytest
from hypothesis import given

from pollenloom.dispatch.token_usage import (
    MAX_TOKENS,
    read_stream_usage,
    read_usage,
)
from tests.fakes.odd_records import (
    ODD_VALUES,
    arbitrary_records,
    encode_record,
    odd_records,
)

USAGE = {'prompt_tokens': 100, 'completion_tokens': 10}
ODD_BODIES = tuple(
    b'{"usage":%b}' % usage for usage in odd_records(USAGE).values()
)


def test_usage_is_read() -> None:
    """Guards against a usage that is lost."""
    usage = read_usage(encode_record({'usage': USAGE}))
    assert usage is not None
    assert usage.cost() == pytest.approx(22.5)


def test_odd_usage_has_a_cost_in_range() -> None:
    """Guards against costs that overflow, or pay back what was used."""
    for body in ODD_BODIES:
        for usage in (read_usage(body), read_stream_usage((b'data:', body))):
            cost = 0 if usage is None else usage.cost()
            assert math.isfinite(cost)
            assert 0 <= cost <= 2 * MAX_TOKENS


@pytest.mark.parametrize('oddity', ['deep list', 'deep map'])
def test_deep_body_has_no_usage(oddity: str) -> None:
    """Guards against an answer that is complete and ends its request."""
    body = encode_record({'usage': USAGE}, unknown=ODD_VALUES[oddity])
    assert read_usage(body) is None


@given(arbitrary_records({'usage': USAGE}))
def test_odd_body_is_read_or_has_no_usage(body: bytes) -> None:
    """Guards against a body that ends the task of its request."""
    usage = read_usage(body)
    assert usage is None or usage.cost() >= 0
