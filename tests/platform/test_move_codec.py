"""Tests of the records about version moves, also malformed ones."""

import msgspec
from hypothesis import given

from pollenloom.catalogue.move_status import MoveStatus
from pollenloom.catalogue.operator_change import MoveOrder
from pollenloom.core.ids import Offset, ServiceId, VersionId
from pollenloom.core.states import MoveState
from pollenloom.platform.move_codec import (
    decode_move_order,
    decode_move_status,
    encode_move_status,
)
from tests.fakes.odd_records import (
    ODD_VALUES,
    arbitrary_records,
    encode_record,
)

SERVICE = ServiceId('app')
OFFSET = Offset(7)


def test_order_is_read() -> None:
    """Guards against an order that has no effect."""
    payload = b'{"service":"app","target":"v2","duration_s":12}'
    order = decode_move_order(SERVICE, payload, OFFSET).ok
    assert order == MoveOrder(SERVICE, VersionId('v2'), 12, OFFSET)


def test_removed_order_is_withdrawn() -> None:
    """Guards against a move that goes on without its order."""
    assert decode_move_order(SERVICE, b'', OFFSET).ok.to_version is None


def test_states_have_the_names_of_the_protocol() -> None:
    """Guards against a state that operators do not understand."""
    names = {
        msgspec.json.decode(
            encode_move_status(MoveStatus(SERVICE, VersionId('v2'), state))
        )['state']
        for state in MoveState
    }
    assert names == {'active', 'completed', 'rolled_back'}


def test_written_state_is_read_back() -> None:
    """Guards against routers that do not understand each other."""
    status = MoveStatus(SERVICE, VersionId('v2'), MoveState.REVERTED)
    assert decode_move_status(SERVICE, encode_move_status(status)).ok == status


@given(arbitrary_records({'service': 'app', 'target': 'v2', 'duration_s': 9}))
def test_odd_order_is_an_order_or_an_error(payload: bytes) -> None:
    """Guards against a record of another writer that ends a task."""
    decoded = decode_move_order(SERVICE, payload, OFFSET)
    assert decoded.is_ok() or decoded.error.detail


@given(arbitrary_records({'target': 'v2', 'state': 'active'}))
def test_odd_state_is_a_state_or_an_error(payload: bytes) -> None:
    """Guards against a record of another writer that ends a task."""
    decoded = decode_move_status(SERVICE, payload)
    assert decoded.is_ok() or decoded.error.detail


def test_deep_state_is_rejected() -> None:
    """Guards against a state whose nesting ends the reading task."""
    fields = {'target': 'v2', 'state': 'active'}
    payload = encode_record(fields, unknown=ODD_VALUES['deep map'])
    assert decode_move_status(SERVICE, payload).is_error()
