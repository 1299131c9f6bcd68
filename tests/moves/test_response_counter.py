"""Tests of the counts of good and bad responses."""

import pytest

from pollenloom.core.ids import RouteId, ServiceId, VersionId
from pollenloom.core.states import Outcome
from pollenloom.moves.response_class import ResponsePhase, response_class
from pollenloom.moves.response_counter import ResponseCounter
from pollenloom.moves.response_report import ResponseReport

OLD = VersionId('v1')
NEW = VersionId('v2')
ROUTE = RouteId('answers')
# Enough samples for a baseline.
SAMPLES = 20


def make_report(
    version: VersionId,
    first_byte: float | None,
    outcome: Outcome = Outcome.SERVED,
    expected: float = 0.1,
    rest: float = 1.0,
    load_class: int = 0,
) -> ResponseReport:
    """Return the report of a streamed response of 100 bytes."""
    total = (first_byte or 0) + rest
    is_cancelled = outcome is Outcome.CANCELLED
    return ResponseReport(
        service=ServiceId('app'),
        route=ROUTE,
        version=version,
        outcome=outcome,
        cost=100,
        first_byte_seconds=first_byte,
        duration_seconds=None if is_cancelled else total,
        expected_seconds=expected,
        load_class=load_class,
        cancelled_after=total if is_cancelled else None,
    )


@pytest.fixture
def counter() -> ResponseCounter:
    """A counter in a move, with a baseline of an old version under load."""
    counter = ResponseCounter()
    for _ in range(SAMPLES):
        counter.count(make_report(OLD, 0.4, expected=0.4))
    counter.begin(NEW)
    return counter


def count_of(
    counter: ResponseCounter, phase: ResponsePhase, *, is_bad: bool
) -> float:
    """Return the responses of the new version in a class."""
    name = response_class(NEW, ROUTE, phase, is_new=True, is_bad=is_bad)
    return counter.counts.get(name, 0)


def test_slow_idle_version_is_bad_beside_a_busy_one(
    counter: ResponseCounter,
) -> None:
    """Guards against a slow version that hides behind the old one's queue."""
    counter.count(make_report(NEW, 0.4, expected=0.1))
    assert count_of(counter, ResponsePhase.FIRST_BYTE, is_bad=True) == 1


def test_version_more_than_twice_as_slow_is_bad(
    counter: ResponseCounter,
) -> None:
    """Guards against a slow version that is accepted after its time.

    In hasty 459375547323 only few responses took three times the median.
    """
    counter.count(make_report(NEW, 0.25, expected=0.1))
    assert count_of(counter, ResponsePhase.FIRST_BYTE, is_bad=True) == 1


def test_usual_version_is_good(counter: ResponseCounter) -> None:
    """Guards against good versions that are found slow."""
    counter.count(make_report(NEW, 0.15, expected=0.1))
    assert count_of(counter, ResponsePhase.FIRST_BYTE, is_bad=False) == 1
    assert count_of(counter, ResponsePhase.REST, is_bad=False) == 1


def test_version_that_is_slow_after_the_first_byte_is_bad(
    counter: ResponseCounter,
) -> None:
    """Guards against a version that streams several times slower."""
    counter.count(make_report(NEW, 0.1, rest=4.0))
    assert count_of(counter, ResponsePhase.REST, is_bad=True) == 1


def test_rest_is_not_judged_under_another_load(
    counter: ResponseCounter,
) -> None:
    """Guards against a comparison with servers that run fewer requests."""
    counter.count(make_report(NEW, 0.1, rest=4.0, load_class=3))
    assert not count_of(counter, ResponsePhase.REST, is_bad=True)


def test_caller_that_gives_up_late_counts_as_bad(
    counter: ResponseCounter,
) -> None:
    """Guards against a version so slow that no response is complete."""
    gave_up = Outcome.CANCELLED
    counter.count(make_report(NEW, None, gave_up, rest=2.0))
    assert count_of(counter, ResponsePhase.FIRST_BYTE, is_bad=True) == 1
    counter.count(make_report(NEW, None, gave_up, rest=0.01))
    assert not count_of(counter, ResponsePhase.FIRST_BYTE, is_bad=False)


def test_rejected_request_is_not_judged(counter: ResponseCounter) -> None:
    """Guards against fast rejections that make a version look good."""
    counter.count(make_report(NEW, 0.01, Outcome.REFUSED))
    assert not counter.counts


def test_failure_is_bad(counter: ResponseCounter) -> None:
    """Guards against a version whose failures are not counted."""
    counter.count(make_report(NEW, None, Outcome.FAILED))
    assert count_of(counter, ResponsePhase.FIRST_BYTE, is_bad=True) == 1
