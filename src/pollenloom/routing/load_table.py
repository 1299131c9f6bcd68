"""Work in progress and usage over the fleet, as routers tell it."""

from collections import defaultdict
from typing import Final

from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom.routing.load_sum import LoadSum, add_by_service, add_sums
from pollenloom.routing.router_load_report import RouterLoadReport
from pollenloom.routing.service_load import ServiceLoad, add_loads

# A report this old tells nothing of servers whose queues last 0.2 s.
REPORT_SECONDS: Final = 0.6
# A sum is used until another collector takes over from a silent one: an old
# sum is better than servers that look empty.
SUM_SECONDS: Final = 1.5

HeardSums = dict[VmId, tuple[float, LoadSum]]


class LoadTable:
    """Newest report of each other router, and sums that collectors made.

    Where a router hears only some of the others, what it hears stands for
    the rest in proportion.
    """

    def __init__(self, router: VmId) -> None:
        self.router = router
        self.reports: dict[VmId, RouterLoadReport] = {}
        self.parts: dict[DataCentreId, HeardSums] = defaultdict(dict)
        self.sums: HeardSums = {}

    def receive(self, router: VmId, report: RouterLoadReport) -> None:
        """Take a report."""
        self.reports[router] = report

    def receive_part(
        self,
        data_centre: DataCentreId,
        collector: VmId,
        part: LoadSum,
        now: float,
    ) -> None:
        """Take the sum of another data centre."""
        self.parts[data_centre][collector] = (now, part)

    def receive_sum(self, collector: VmId, total: LoadSum, now: float) -> None:
        """Take a sum of the fleet."""
        self.sums[collector] = (now, total)

    def forget_old(self, now: float) -> None:
        """Forget routers and collectors that have been silent."""
        self.reports = {
            router: report
            for router, report in self.reports.items()
            if report.received_at >= now - REPORT_SECONDS
        }
        self.sums = without_old(self.sums, now - SUM_SECONDS)
        for data_centre, parts in tuple(self.parts.items()):
            self.parts[data_centre] = without_old(parts, now - SUM_SECONDS)

    def local_part(self, now: float) -> LoadSum:
        """Return the sum of the reports that came here."""
        self.forget_old(now)
        return LoadSum(
            routers=len(self.reports),
            numbers={
                router: report.number for router, report in self.reports.items()
            },
            loads=add_by_service(
                report.loads for report in self.reports.values()
            ),
        )

    def fleet_sum(self, local_part: LoadSum) -> LoadSum:
        """Return the sum of the own part and of the other data centres."""
        others = (widest(parts) for parts in self.parts.values() if parts)
        return add_sums(local_part, others)

    def elsewhere(
        self,
        service: ServiceId,
        routers: int,
        now: float,
        local_reports: dict[int, RouterLoadReport],
    ) -> ServiceLoad:
        """Return the sum over all other routers.

        Args:
            service: Service whose load is asked for.
            routers: Size of the fleet with this router.
            now: Monotonic seconds.
            local_reports: Own reports by number, to leave them out of sums.
        """
        self.forget_old(now)
        if self.sums:
            return self.from_sum(widest(self.sums), service, local_reports)
        loads = [
            report.loads[service]
            for report in self.reports.values()
            if service in report.loads
        ]
        if not loads:
            return ServiceLoad()
        return add_loads(loads).scaled((routers - 1) / len(self.reports))

    def from_sum(
        self,
        total: LoadSum,
        service: ServiceId,
        local_reports: dict[int, RouterLoadReport],
    ) -> ServiceLoad:
        """Return a sum without the own part.

        It covers all that run: routers that are lost stay in the census for
        a while, so it is not scaled up to that.
        """
        load = total.loads.get(service, ServiceLoad())
        own = local_reports.get(total.numbers.get(self.router, 0))
        if own is None:
            return load
        own_load = own.loads.get(service, ServiceLoad())
        return load.minus(own_load, self.router)


def without_old(heard: HeardSums, heard_before: float) -> HeardSums:
    """Leave out what was heard long ago."""
    return {
        router: entry
        for router, entry in heard.items()
        if entry[0] >= heard_before
    }


def widest(heard: HeardSums) -> LoadSum:
    """Return the sum over most routers; of such, the newest."""
    return max(
        heard.values(),
        key=lambda entry: (entry[1].routers, entry[0]),
    )[1]
