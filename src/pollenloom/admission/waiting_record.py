"""Event records and metrics of how requests waited and were turned away."""

from pollenloom.admission.waiting_activity import WaitingActivity
from pollenloom.core.ids import ServiceId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.observability.metrics import Metrics


def record_waiting(
    events: EventLog,
    metrics: Metrics,
    service: ServiceId,
    activity: WaitingActivity,
) -> None:
    """Record what was decided lately; nothing if there was no such decision.

    Args:
        events: Event log of the router.
        metrics: Metrics of the router.
        service: The service.
        activity: What was decided.
    """
    counts = activity.counts()
    if not any(counts.values()):
        return
    for event, number in counts.items():
        metrics.waiting_requests.labels(service, event).inc(number)
    events.record(
        EventName.REQUESTS_TURNED_AWAY,
        service,
        **counts,
        mean_return_ms=round(activity.mean_return * MILLISECONDS_PER_SECOND),
        longest_return_ms=round(
            activity.longest_return * MILLISECONDS_PER_SECOND
        ),
    )
