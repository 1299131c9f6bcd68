"""Events and metrics of the usage reports."""

from typing import TYPE_CHECKING

from prometheus_client import Counter

from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.observability.metrics import Metrics

if TYPE_CHECKING:
    from pollenloom.core.ids import WindowNumber
    from pollenloom.usage.usage_ledger import WindowCoverage
    from pollenloom.usage.usage_report import UsageReport


class UsageRecorder:
    """Records which windows were reported, late or left out."""

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        self.events = events
        self.windows = Counter(
            'pollenloom_usage_windows',
            'Windows by what became of their report: in_time, late, left_out, '
            'or incomplete (reported without the counts of some routers).',
            ('result',),
            registry=metrics.registry,
        )

    def reported(
        self,
        report: 'UsageReport',
        coverage: 'WindowCoverage | None',
        seconds: float,
        *,
        is_late: bool,
    ) -> None:
        """Record a report that the platform took.

        Args:
            report: The report.
            coverage: Whose counts it has; None if an earlier holder knew.
            seconds: Seconds since the end of its window.
            is_late: Whether that is too long.
        """
        is_complete = coverage is None or coverage.is_complete
        self.windows.labels('late' if is_late else 'in_time').inc()
        if not is_complete:
            self.windows.labels('incomplete').inc()
        self.events.record(
            EventName.USAGE_REPORTED,
            str(report.window),
            requests=sum(report.began.values()),
            accounts=len(report.began),
            routers=coverage.routers if coverage else None,
            is_complete=is_complete,
            seconds=round(seconds, 3),
            is_late=is_late,
        )

    def left_out(self, window: 'WindowNumber', reason: str) -> None:
        """Record that a window is not reported."""
        self.windows.labels('left_out').inc()
        self.events.record(EventName.USAGE_LEFT_OUT, str(window), reason=reason)
