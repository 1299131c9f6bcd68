"""Counts of the responses of both versions of a move on one router."""

from collections import defaultdict
from typing import TYPE_CHECKING

from pollenloom.core.ids import RouteId
from pollenloom.core.states import Outcome
from pollenloom.moves.latency_baseline import NO_MARGIN, LatencyBaseline
from pollenloom.moves.version_counts import VersionCounts

if TYPE_CHECKING:
    from pollenloom.configuration.move_entry import MoveEntry
    from pollenloom.moves.response_report import ResponseReport


class EvidenceCounter:
    """Counts responses by route and version.

    Counts of the new version belong to one test and restart from zero with
    the next one, so that any router can add the counts of all other routers
    without knowing what they were when the test began.

    Attributes:
        entry: Configured move.
        test: Number of the test that the counts in `new` belong to.
        old: Counts of the old version by route, over the whole move.
        new: Counts of the new version by route, in this test.
        first_byte_baselines: Seconds to the first byte of the old version.
        cost_time_baselines: Seconds of the old version after the first byte
            for each unit of cost.
    """

    def __init__(self, entry: 'MoveEntry') -> None:
        self.entry = entry
        self.test = 0
        self.old: dict[RouteId, VersionCounts] = {}
        self.new: dict[RouteId, VersionCounts] = {}
        self.first_byte_baselines: dict[RouteId, LatencyBaseline] = defaultdict(
            LatencyBaseline,
        )
        self.cost_time_baselines: dict[RouteId, LatencyBaseline] = defaultdict(
            lambda: LatencyBaseline(NO_MARGIN),
        )

    def begin_test(self, test: int) -> None:
        """Reset the counts of the new version if another test has begun."""
        if test != self.test:
            self.test = test
            self.new = {}

    def count_response(self, report: 'ResponseReport') -> None:
        """Count one response; only served and failed ones are counted."""
        if report.outcome not in {Outcome.SERVED, Outcome.FAILED}:
            return
        counts = self.classify(report)
        if report.version == self.entry.from_version:
            self.update_baselines(report)
            self.add(self.old, report.route, counts)
        elif report.version == self.entry.to_version:
            self.add(self.new, report.route, counts)

    def classify(self, report: 'ResponseReport') -> VersionCounts:
        """Return the counts of one response: failed, slow or neither."""
        if report.outcome is Outcome.FAILED:
            return VersionCounts(requests=1, failures=1)
        is_slow = self.first_byte_baselines[report.route].is_slow(
            report.first_byte_seconds,
        ) or self.cost_time_baselines[report.route].is_slow(
            report.seconds_per_cost
        )
        return VersionCounts(requests=1, slow=int(is_slow))

    def update_baselines(self, report: 'ResponseReport') -> None:
        """Add the times of a served response of the old version."""
        if report.outcome is not Outcome.SERVED:
            return
        if report.first_byte_seconds is not None:
            self.first_byte_baselines[report.route].add(
                report.first_byte_seconds
            )
        if report.seconds_per_cost is not None:
            self.cost_time_baselines[report.route].add(report.seconds_per_cost)

    def add(
        self,
        counts_by_route: dict[RouteId, VersionCounts],
        route: RouteId,
        counts: VersionCounts,
    ) -> None:
        """Add counts to those of a route."""
        earlier = counts_by_route.get(route, VersionCounts())
        counts_by_route[route] = earlier.plus(counts)
