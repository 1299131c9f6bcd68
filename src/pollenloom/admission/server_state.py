"""State of one backend server at the owner of its pool."""

from dataclasses import dataclass, field

from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)
from pollenloom.admission.engine_reports.prefix_cache_predictor import (
    PrefixCachePredictor,
)
from pollenloom.admission.engine_reports.server_reports import ServerReports
from pollenloom.admission.server_ramp import ServerRamp
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import VmId


@dataclass(slots=True)
class ReportBarrier:
    """Blocks grants until routers have reported what they have in flight.

    Attributes:
        awaiting: Routers that have not reported.
        deadline: When grants are given without the missing reports,
            monotonic seconds.
    """

    awaiting: set[VmId]
    deadline: float

    def is_over(self, now: float) -> bool:
        """Whether grants may be given."""
        return not self.awaiting or now >= self.deadline


@dataclass(slots=True)
class ServerState:
    """Load, limit and cached prefixes of one server.

    Attributes:
        server: The server.
        ramp: Concurrency limit.
        report_barrier: Blocks grants until the load of the fleet is known.
        in_flight: Grants in use over the whole fleet.
        listed: Whether the configuration allows new requests.
        refused_epoch: Highest fencing number that the server refused.
        prefix_predictor: Predicts which prompt prefixes it has cached.
        reports: Load reports.
    """

    server: BackendServer
    ramp: ServerRamp
    report_barrier: ReportBarrier
    in_flight: int = 0
    listed: bool = True
    refused_epoch: int = 0
    prefix_predictor: PrefixCachePredictor = field(
        default_factory=PrefixCachePredictor
    )
    reports: ServerReports = field(default_factory=ServerReports)

    def free_slots(self, now: float) -> int:
        """Number of grants that may be given now."""
        if not self.listed or not self.report_barrier.is_over(now):
            return 0
        if self.reports.leaving:
            return 0
        taken = self.in_flight + self.reports.unaccounted_requests(now)
        return max(0, self.limit_at(now) - taken)

    def limit_at(self, now: float) -> int:
        """Requests that may be in flight now, over the whole fleet.

        A server that neither reports its load nor served the last request
        gets one request at a time, as a probe.
        """
        limit = self.ramp.limit_at(now)
        if self.reports.unreachable and self.ramp.failed_last:
            return min(limit, 1)
        return limit

    def add_grant(self) -> None:
        """Count a grant as in flight."""
        self.in_flight += 1
        self.reports.record_in_flight(self.in_flight)

    def apply_report(
        self, report: EngineLoadReport, measured_at: float, now: float
    ) -> None:
        """Apply a load report, measured at monotonic seconds.

        A report that is older than the latest one is ignored.
        """
        restarts = self.reports.restarts
        if not self.reports.apply(report, measured_at, now):
            return
        self.reports.begin_period(self.in_flight)
        if self.reports.restarts > restarts:
            self.prefix_predictor.restart()
        if not report.cold:
            self.ramp.confirm_warm(measured_at)
        # If the limit has risen since the report, later responses have shown
        # that the server is warm.
        is_cold = report.cold and measured_at > self.ramp.raised_at
        self.ramp.apply_load_report(now, cold=is_cold)
