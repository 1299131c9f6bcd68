"""Counts of good and bad responses of both versions on one router."""

from collections import defaultdict

from pollenloom.core.ids import ResponseClass, RouteId, VersionId
from pollenloom.core.states import Outcome
from pollenloom.moves.latency_baseline import (
    NO_MARGIN,
    SLOW_FACTOR_UNDER_LIKE_LOAD,
    LatencyBaseline,
)
from pollenloom.moves.response_class import ResponsePhase, response_class
from pollenloom.moves.response_report import ResponseReport

LoadKey = tuple[RouteId, int]


class ResponseCounter:
    """Counts the responses of one service while its traffic moves.

    Responses of the old version set the baselines also before the move.

    Attributes:
        to_version: Version that is tried; None without a move.
        counts: Responses since the move was ordered.
        first_byte: Times to the first byte of the old version, in multiples of
            the expected time, by route and load class.
        rest: Seconds after the first byte for each unit of cost, likewise.
    """

    def __init__(self) -> None:
        self.to_version: VersionId | None = None
        self.counts: dict[ResponseClass, float] = defaultdict(float)
        self.first_byte: dict[LoadKey, LatencyBaseline] = defaultdict(
            make_baseline
        )
        self.rest: dict[LoadKey, LatencyBaseline] = defaultdict(make_baseline)

    def begin(self, to_version: VersionId | None) -> None:
        """Restart the counts for another move, or for none."""
        self.to_version = to_version
        self.counts.clear()

    def count(self, report: ResponseReport) -> None:
        """Count both phases of a response, unless the request was rejected."""
        if report.outcome in {Outcome.REFUSED, Outcome.UNUSED}:
            return
        is_new = report.version == self.to_version
        # The expected time already accounts for the load of model engines.
        has_expected = report.expected_seconds != 1
        load_class = 0 if has_expected else report.load_class
        first_byte = self.first_byte[report.route, load_class]
        rest = self.rest[report.route, report.load_class]
        self.count_phase(
            report,
            ResponsePhase.FIRST_BYTE,
            is_bad_first_byte(report, first_byte),
        )
        self.count_phase(report, ResponsePhase.REST, is_bad_rest(report, rest))
        if is_new or report.outcome is not Outcome.SERVED:
            return
        if report.first_byte_seconds is not None:
            first_byte.add(report.first_byte_seconds / report.expected_seconds)
        if report.seconds_per_cost:
            rest.add(report.seconds_per_cost)

    def count_phase(
        self,
        report: ResponseReport,
        phase: ResponsePhase,
        is_bad: bool | None,
    ) -> None:
        """Count one phase of a response unless nothing is known about it."""
        if is_bad is None or self.to_version is None:
            return
        key = response_class(
            self.to_version,
            report.route,
            phase,
            is_new=report.version == self.to_version,
            is_bad=is_bad,
        )
        self.counts[key] += 1


def is_bad_first_byte(
    report: ResponseReport, baseline: LatencyBaseline
) -> bool | None:
    """Whether the first byte was late or missing; None if not known.

    A request that its caller gave up is only known to be bad if it already
    took too long.
    """
    if report.first_byte_seconds is not None:
        return baseline.check(
            report.first_byte_seconds / report.expected_seconds
        )
    if report.outcome is Outcome.FAILED:
        return True
    if report.cancelled_after is None:
        return None
    return (
        baseline.check(report.cancelled_after / report.expected_seconds) or None
    )


def is_bad_rest(
    report: ResponseReport, baseline: LatencyBaseline
) -> bool | None:
    """Whether a response was slow or failed after its first byte."""
    if report.first_byte_seconds is None:
        return None
    if report.outcome is Outcome.FAILED:
        return True
    if not report.seconds_per_cost:
        # The response came in one piece.
        return None
    is_slow = baseline.check(report.seconds_per_cost)
    return is_slow if report.outcome is Outcome.SERVED else is_slow or None


def make_baseline() -> LatencyBaseline:
    """Return a baseline of times that account for the load."""
    return LatencyBaseline(NO_MARGIN, SLOW_FACTOR_UNDER_LIKE_LOAD)
