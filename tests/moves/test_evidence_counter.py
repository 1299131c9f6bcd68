"""Tests of the evidence on moves that service files name."""

from datetime import UTC, datetime, timedelta

from pollenloom.configuration.move_entry import MoveEntry
from pollenloom.core.ids import MoveId, RouteId, ServiceId, VersionId
from pollenloom.core.states import Outcome
from pollenloom.moves.evidence_counter import EvidenceCounter
from pollenloom.moves.response_report import ResponseReport

START = datetime(2027, 1, 4, 8, tzinfo=UTC)
OLD = VersionId('v1')
NEW = VersionId('v2')
ROUTE = RouteId('answers')
TOKENS = 200


def make_report(version: VersionId, seconds_per_token: float) -> ResponseReport:
    """Return the report of a response with a fast first byte."""
    return ResponseReport(
        service=ServiceId('answers'),
        route=ROUTE,
        version=version,
        outcome=Outcome.SERVED,
        cost=TOKENS,
        first_byte_seconds=0.1,
        duration_seconds=0.1 + TOKENS * seconds_per_token,
    )


def test_version_that_generates_four_times_slower_is_bad() -> None:
    """Guards against a margin for first bytes that hides slow tokens."""
    entry = MoveEntry(
        name=MoveId('spring'),
        from_version=OLD,
        to_version=NEW,
        start=START,
        finish_by=START + timedelta(minutes=10),
    )
    counter = EvidenceCounter(entry)
    for _ in range(20):
        counter.count_response(make_report(OLD, 0.01))
    counter.count_response(make_report(NEW, 0.04))
    assert counter.new[ROUTE].slow == 1
