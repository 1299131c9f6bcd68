"""Counts that the judge of a move has received."""

from typing import TYPE_CHECKING

from pollenloom.core.ids import RouteId, VmId
from pollenloom.moves.move_evaluator import MoveEvidence
from pollenloom.moves.version_counts import VersionCounts

if TYPE_CHECKING:
    from pollenloom.moves.move_messages import EvidenceReport

ReporterKey = tuple[VmId, int]


class CollectedEvidence:
    """Latest report of each router; reports are cumulative."""

    def __init__(self) -> None:
        self.reports: dict[ReporterKey, EvidenceReport] = {}

    def put(self, sender: VmId, report: 'EvidenceReport') -> None:
        """Keep the latest report of a router."""
        self.reports[sender, report.reporter_start] = report

    def total(self, test: int) -> MoveEvidence:
        """Add the counts of all routers.

        Args:
            test: Only counts of this test count for the new version.
        """
        old: dict[RouteId, VersionCounts] = {}
        new: dict[RouteId, VersionCounts] = {}
        for report in self.reports.values():
            for counts in report.routes:
                add(old, counts.route, counts.old)
                if report.test == test and counts.new.requests:
                    add(new, counts.route, counts.new)
        return MoveEvidence(old, new)


def add(
    totals: dict[RouteId, VersionCounts],
    route: RouteId,
    counts: VersionCounts,
) -> None:
    """Add counts to the total of a route."""
    totals[route] = totals.get(route, VersionCounts()).plus(counts)
