"""Counts of both versions of a move, as one router saw them."""

from collections import defaultdict
from typing import TYPE_CHECKING

from pollenloom.core.ids import RouteId
from pollenloom.core.states import Outcome
from pollenloom.moves.latency_baseline import LatencyBaseline
from pollenloom.moves.version_counts import VersionCounts

if TYPE_CHECKING:
    from pollenloom.configuration.move_entry import MoveEntry
    from pollenloom.moves.response_report import ResponseReport


class EvidenceCounter:
    """Counts answers by route and version.

    Counts of the new version belong to one test and start again with the
    next one, so that any router can add the counts of all others without
    knowing what they were when the test began.
    """

    def __init__(self, entry: 'MoveEntry') -> None:
        self.entry = entry
        self.test = 0
        self.old: dict[RouteId, VersionCounts] = {}
        self.new: dict[RouteId, VersionCounts] = {}
        self.first_byte: dict[RouteId, LatencyBaseline] = defaultdict(
            LatencyBaseline,
        )
        self.pace: dict[RouteId, LatencyBaseline] = defaultdict(
            LatencyBaseline,
        )

    def begin_test(self, test: int) -> None:
        """Forget the counts of the new version if another test has begun."""
        if test != self.test:
            self.test = test
            self.new = {}

    def note(self, report: 'ResponseReport') -> None:
        """Count one answer."""
        if report.outcome not in {Outcome.SERVED, Outcome.FAILED}:
            return
        counts = self.count(report)
        if report.version == self.entry.from_version:
            self.learn(report)
            self.add(self.old, report.route, counts)
        elif report.version == self.entry.to_version:
            self.add(self.new, report.route, counts)

    def count(self, report: 'ResponseReport') -> VersionCounts:
        """Return the counts of one answer."""
        if report.outcome is Outcome.FAILED:
            return VersionCounts(requests=1, failures=1)
        is_slow = self.first_byte[report.route].is_slow(
            report.first_byte_seconds,
        ) or self.pace[report.route].is_slow(report.seconds_per_cost)
        return VersionCounts(requests=1, slow=int(is_slow))

    def learn(self, report: 'ResponseReport') -> None:
        """Learn the usual times from an answer of the old version."""
        if report.outcome is not Outcome.SERVED:
            return
        if report.first_byte_seconds is not None:
            self.first_byte[report.route].add(report.first_byte_seconds)
        if report.seconds_per_cost is not None:
            self.pace[report.route].add(report.seconds_per_cost)

    def add(
        self,
        counts_by_route: dict[RouteId, VersionCounts],
        route: RouteId,
        counts: VersionCounts,
    ) -> None:
        """Add counts to those of a route."""
        earlier = counts_by_route.get(route, VersionCounts())
        counts_by_route[route] = earlier.plus(counts)
