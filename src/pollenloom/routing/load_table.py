"""Load of other routers, from their reports and from collectors' sums."""

from collections import defaultdict
from typing import Final

from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom.routing.load_sum import LoadSum, add_by_service, add_sums
from pollenloom.routing.router_load_report import RouterLoadReport
from pollenloom.routing.service_load import ServiceLoad, add_loads

# Queues at servers last 0.2 s, so an older report says nothing about them.
MAX_REPORT_AGE_SECONDS: Final = 0.6
# A sum is used until another collector takes over from an unresponsive one:
# an old sum is better than servers that look idle.
MAX_SUM_AGE_SECONDS: Final = 1.5

# Time of receipt in monotonic seconds and sum, by collector.
ReceivedSums = dict[VmId, tuple[float, LoadSum]]


class LoadTable:
    """Latest report of each router, and latest sum of each collector.

    Where reports of only some of the other routers are known, their load is
    scaled up to the size of the fleet.

    Attributes:
        router: This router.
        reports: By router.
        data_centre_sums: Sums of other data centres, by data centre.
        fleet_sums: Sums over the fleet.
        heard_at: When a router of each data centre was last heard of, directly
            or through a collector, monotonic seconds.
    """

    def __init__(self, router: VmId) -> None:
        self.router = router
        self.reports: dict[VmId, RouterLoadReport] = {}
        self.data_centre_sums: dict[DataCentreId, ReceivedSums] = defaultdict(
            dict
        )
        self.fleet_sums: ReceivedSums = {}
        self.heard_at: dict[DataCentreId, float] = {}

    def hear(self, data_centre: DataCentreId, at: float) -> None:
        """Record that a router of a data centre was heard of at a time."""
        known = self.heard_at.get(data_centre, at)
        self.heard_at[data_centre] = max(known, at)

    def heard_ages(self, now: float) -> dict[DataCentreId, float]:
        """Return the seconds since each data centre was heard of."""
        return {name: now - at for name, at in self.heard_at.items()}

    def receive_report(self, router: VmId, report: RouterLoadReport) -> None:
        """Store the report of a router."""
        self.reports[router] = report

    def receive_data_centre_sum(
        self,
        data_centre: DataCentreId,
        collector: VmId,
        data_centre_sum: LoadSum,
        now: float,
    ) -> None:
        """Store the sum of another data centre."""
        self.data_centre_sums[data_centre][collector] = (now, data_centre_sum)

    def receive_fleet_sum(
        self,
        collector: VmId,
        total: LoadSum,
        now: float,
    ) -> None:
        """Store a sum over the fleet."""
        self.fleet_sums[collector] = (now, total)

    def remove_expired(self, now: float) -> None:
        """Remove reports and sums that are too old."""
        self.reports = {
            router: report
            for router, report in self.reports.items()
            if report.received_at >= now - MAX_REPORT_AGE_SECONDS
        }
        self.fleet_sums = received_since(
            self.fleet_sums,
            now - MAX_SUM_AGE_SECONDS,
        )
        for data_centre, sums in tuple(self.data_centre_sums.items()):
            self.data_centre_sums[data_centre] = received_since(
                sums,
                now - MAX_SUM_AGE_SECONDS,
            )

    def local_sum(self, now: float) -> LoadSum:
        """Return the sum of the reports that this router received."""
        self.remove_expired(now)
        return LoadSum(
            routers=len(self.reports),
            numbers={
                router: report.number for router, report in self.reports.items()
            },
            loads=add_by_service(
                report.loads for report in self.reports.values()
            ),
        )

    def fleet_sum(self, local_sum: LoadSum) -> LoadSum:
        """Return the local sum plus those of the other data centres."""
        remote_sums = (
            most_complete(sums)
            for sums in self.data_centre_sums.values()
            if sums
        )
        return add_sums(local_sum, remote_sums)

    def remote_load(
        self,
        service: ServiceId,
        routers: int,
        now: float,
        local_reports: dict[int, RouterLoadReport],
    ) -> ServiceLoad:
        """Return the load of a service on all other routers.

        Args:
            service: Service whose load is returned.
            routers: Size of the fleet, including this router.
            now: Monotonic seconds.
            local_reports: Reports of this router by number, to subtract them
                from sums.
        """
        self.remove_expired(now)
        if self.fleet_sums:
            return self.without_local_load(
                most_complete(self.fleet_sums),
                service,
                local_reports,
            )
        loads = [
            report.loads[service]
            for report in self.reports.values()
            if service in report.loads
        ]
        if not loads:
            return ServiceLoad()
        return add_loads(loads).scaled((routers - 1) / len(self.reports))

    def fleet_sum_age(self, now: float) -> float | None:
        """Return the seconds since the fleet sum in use arrived, if any."""
        if not self.fleet_sums:
            return None
        return now - most_complete_entry(self.fleet_sums)[0]

    @property
    def summed_routers(self) -> int:
        """Number of routers that the load in use covers."""
        if not self.fleet_sums:
            return len(self.reports)
        return most_complete(self.fleet_sums).routers

    def without_local_load(
        self,
        total: LoadSum,
        service: ServiceId,
        local_reports: dict[int, RouterLoadReport],
    ) -> ServiceLoad:
        """Return a service's load in a fleet sum, without this router's.

        The sum covers all running routers. It is not scaled up to the size
        of the fleet directory, where failed routers stay for a while.
        """
        load = total.loads.get(service, ServiceLoad())
        local_report = local_reports.get(total.numbers.get(self.router, 0))
        if local_report is None:
            return load
        local_load = local_report.loads.get(service, ServiceLoad())
        return load.minus(local_load)


def received_since(sums: ReceivedSums, earliest: float) -> ReceivedSums:
    """Return the sums that were received at `earliest` or later."""
    return {
        collector: entry
        for collector, entry in sums.items()
        if entry[0] >= earliest
    }


def most_complete_entry(sums: ReceivedSums) -> tuple[float, LoadSum]:
    """Return the entry of the sum over most routers; the newest of several."""
    return max(
        sums.values(),
        key=lambda entry: (entry[1].routers, entry[0]),
    )


def most_complete(sums: ReceivedSums) -> LoadSum:
    """Return the sum over most routers; of several, the newest."""
    return most_complete_entry(sums)[1]
