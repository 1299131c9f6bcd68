"""Tests of the bodies of refusals, also of odd ones."""

from http import HTTPStatus

from pollenloom.core.states import RunStatus
from pollenloom.dispatch.refusal import read_refusal
from tests.fakes.odd_records import ODD_VALUES, encode_record, odd_records

REFUSAL = {'run': 'no', 'reason': 'full'}
BUSY = HTTPStatus.SERVICE_UNAVAILABLE


def test_refusal_is_read() -> None:
    """Guards against a refusal after which a request is not sent again."""
    refusal = read_refusal(BUSY, encode_record(REFUSAL))
    assert refusal is not None
    assert refusal.run is RunStatus.NO


def test_deep_refusal_proves_nothing() -> None:
    """Guards against a body that ends the task of its request."""
    for oddity in ('deep list', 'deep map'):
        body = encode_record(REFUSAL, unknown=ODD_VALUES[oddity])
        assert read_refusal(BUSY, body) is None


def test_odd_refusals_prove_nothing_but_what_they_say() -> None:
    """Guards against an order that is sent again although it may have run."""
    for name, body in odd_records(REFUSAL).items():
        refusal = read_refusal(BUSY, body)
        assert refusal is None or not name.startswith('run:')
