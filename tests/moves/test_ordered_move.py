"""Decisions on a move that operators ordered."""

import pytest

from pollenloom.catalogue.operator_change import MoveOrder
from pollenloom.core.ids import Offset, RouteId, ServiceId, VersionId
from pollenloom.core.states import MoveState
from pollenloom.moves.ordered_move import ENOUGH_RESPONSES, OrderedMove
from pollenloom.moves.response_class import ResponsePhase, response_class

START = 100.0
SECONDS = 20.0
OLD = VersionId('v1')
NEW = VersionId('v2')
TRIAL_SHARE = 0.09


@pytest.fixture
def move() -> OrderedMove:
    """A move that has just been ordered."""
    order = MoveOrder(ServiceId('app'), NEW, SECONDS, Offset(0))
    return OrderedMove(order, NEW, START)


def serve(move: OrderedMove, number: int, *, is_bad: bool = False) -> None:
    """Let the new version serve this many requests."""
    name = response_class(
        NEW,
        RouteId('r'),
        ResponsePhase.FIRST_BYTE,
        is_new=True,
        is_bad=is_bad,
    )
    move.test.observe({name: number})


def state_at(
    move: OrderedMove, part: float, *, sees_fleet: bool = True
) -> MoveState:
    """Return the state after a part of the time."""
    return move.next_state(START + part * SECONDS, sees_fleet=sees_fleet)


def test_unproven_version_keeps_to_its_share(move: OrderedMove) -> None:
    """Guards against a new version that is used like the old one."""
    assert move.share(NEW, TRIAL_SHARE) == TRIAL_SHARE
    assert move.share(OLD, TRIAL_SHARE) == 1


def test_good_version_is_accepted_in_time(move: OrderedMove) -> None:
    """Guards against a good version that is never completed."""
    serve(move, ENOUGH_RESPONSES)
    assert state_at(move, 0.5) is MoveState.RUNNING
    assert state_at(move, 0.85) is MoveState.DONE


def test_version_with_little_traffic_is_accepted_at_last(
    move: OrderedMove,
) -> None:
    """Guards against a good version without enough requests for a verdict."""
    serve(move, 3)
    assert state_at(move, 0.85) is MoveState.RUNNING
    assert state_at(move, 0.9) is MoveState.DONE


def test_version_without_requests_is_reverted(move: OrderedMove) -> None:
    """Guards against accepting a version that nothing is known of."""
    assert state_at(move, 0.9) is MoveState.RUNNING
    assert state_at(move, 0.96) is MoveState.REVERTED


def test_stopped_version_is_reverted_and_gets_nothing(
    move: OrderedMove,
) -> None:
    """Guards against a bad version that is completed and kept."""
    move.is_stopped = True
    assert state_at(move, 0.1) is MoveState.REVERTED
    assert not move.share(NEW, TRIAL_SHARE)


def test_suspect_version_is_not_accepted(move: OrderedMove) -> None:
    """Guards against accepting a version while its last responses are bad."""
    serve(move, 40)
    serve(move, 4, is_bad=True)
    assert state_at(move, 0.9) is not MoveState.DONE


def test_router_that_is_cut_off_accepts_nothing(move: OrderedMove) -> None:
    """Guards against a verdict on the responses of a few routers."""
    serve(move, ENOUGH_RESPONSES)
    assert state_at(move, 0.85, sees_fleet=False) is MoveState.RUNNING


def test_ended_move_stays_ended(move: OrderedMove) -> None:
    """Guards against a router that reverts what was completed."""
    move.state = MoveState.DONE
    move.is_stopped = True
    assert state_at(move, 0.99) is MoveState.DONE
    assert move.share(NEW, TRIAL_SHARE) == 1
    assert not move.share(OLD, TRIAL_SHARE)
