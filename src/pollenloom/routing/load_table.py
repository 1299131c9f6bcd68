"""Work in progress at the servers, over the fleet, as routers tell it."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from pollenloom.core.ids import ServerId, VmId

# A report this old tells nothing of servers whose queues last 0.2 s.
REPORT_SECONDS: Final = 0.6


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What one router has at the servers.

    Attributes:
        heard_at: Monotonic seconds of this router.
        unread: Prompt tokens sent and not known to be read, by server.
    """

    heard_at: float
    unread: Mapping[ServerId, float]


class LoadTable:
    """Newest report of each other router.

    Where a router hears only some of the others, what it hears stands for
    the rest in proportion.
    """

    def __init__(self) -> None:
        self.reports: dict[VmId, LoadReport] = {}

    def hear(self, router: VmId, report: LoadReport) -> None:
        """Take a report."""
        self.reports[router] = report

    def unread(self, routers: int, now: float) -> Mapping[ServerId, float]:
        """Return the unread tokens of all other routers, by server.

        `routers` is the size of the fleet with this router.
        """
        for router, report in tuple(self.reports.items()):
            if report.heard_at < now - REPORT_SECONDS:
                self.reports.pop(router)
        if not self.reports:
            return {}
        scale = max(1, (routers - 1) / len(self.reports))
        totals: dict[ServerId, float] = {}
        for report in self.reports.values():
            for server, tokens in report.unread.items():
                totals[server] = totals.get(server, 0) + tokens * scale
        return totals
