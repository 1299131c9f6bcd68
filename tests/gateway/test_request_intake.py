"""Bound on the time of new requests in one turn of the event loop."""

import pytest

from pollenloom.gateway.request_intake import (
    LONGEST_WAIT_SECONDS,
    TURN_SECONDS,
    RequestIntake,
)

NOW = 100.0


@pytest.fixture
def intake() -> RequestIntake:
    """An intake in whose turn a request has begun."""
    intake = RequestIntake()
    intake.begin_turn(NOW)
    return intake


def test_requests_beyond_a_turn_wait(intake: RequestIntake) -> None:
    """Guards against streams that stop while many new requests begin."""
    assert intake.may_begin(NOW + TURN_SECONDS / 2)
    assert not intake.may_begin(NOW + TURN_SECONDS * 2)


def test_one_request_begins_in_each_turn(intake: RequestIntake) -> None:
    """Guards against a router that is busy with other work and takes none."""
    intake.end_turn()
    assert intake.may_begin(NOW + TURN_SECONDS * 2)


def test_waiting_requests_are_refused_in_time(intake: RequestIntake) -> None:
    """Guards against callers that wait until their deadline."""
    assert not intake.is_too_late(NOW, NOW + LONGEST_WAIT_SECONDS / 2)
    assert intake.is_too_late(NOW, NOW + LONGEST_WAIT_SECONDS * 1.1)


def test_longest_wait_is_taken_once(intake: RequestIntake) -> None:
    """Guards against a router that stays unready after its queue is empty."""
    intake.is_too_late(NOW, NOW + 0.05)
    intake.is_too_late(NOW, NOW + 0.02)
    assert intake.take_longest_wait() == pytest.approx(0.05)
    assert not intake.take_longest_wait()
