"""Counts that the VM that evaluates a move has received."""

from typing import TYPE_CHECKING

from pollenloom.core.ids import RouteId, VmId
from pollenloom.moves.move_evaluator import MoveEvidence
from pollenloom.moves.version_counts import VersionCounts

if TYPE_CHECKING:
    from pollenloom.moves.move_messages import EvidenceReport

ReporterKey = tuple[VmId, int]


class CollectedEvidence:
    """Latest report of each router process; reports are cumulative."""

    def __init__(self) -> None:
        self.reports: dict[ReporterKey, EvidenceReport] = {}

    def put(self, sender: VmId, report: 'EvidenceReport') -> None:
        """Replace the earlier report of the same router process."""
        self.reports[sender, report.reporter_start] = report

    def total(self, test: int) -> MoveEvidence:
        """Add the counts of all routers.

        Args:
            test: Number of the running test. Counts of the new version that
                belong to another test are left out.
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
    """Add counts to the total of a route, in place."""
    totals[route] = totals.get(route, VersionCounts()).plus(counts)
