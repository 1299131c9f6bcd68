"""Events and metrics of the duties that a router holds."""

from typing import TYPE_CHECKING

from prometheus_client import Gauge

from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.observability.metrics import Metrics

if TYPE_CHECKING:
    from pollenloom.core.ids import FencingNumber
    from pollenloom.duties.duty import Duty
    from pollenloom.duties.duty_lease import DutyLease
    from pollenloom.kernel.clock import Clock


class HoldRecorder:
    """Records the beginning and the end of each hold.

    Attributes:
        held: Number under which each duty was held when it was last recorded.
    """

    def __init__(
        self, clock: 'Clock', events: EventLog, metrics: Metrics
    ) -> None:
        self.clock = clock
        self.events = events
        self.number_gauge = Gauge(
            'pollenloom_duty_number',
            'Fencing number under which this router holds a duty; 0 if not.',
            ('duty',),
            registry=metrics.registry,
        )
        self.claimed_gauge = Gauge(
            'pollenloom_duty_claimed_at_seconds',
            'Unix time at which this router claimed a duty; 0 if not held.',
            ('duty',),
            registry=metrics.registry,
        )
        self.held: dict[Duty, FencingNumber | None] = {}

    def record(self, duty: 'Duty', lease: 'DutyLease') -> None:
        """Record a change of the hold, if there is one."""
        number = lease.held.number if lease.held else None
        before = self.held.get(duty)
        if number == before:
            return
        self.held[duty] = number
        notes = lease.inherited
        if number is None:
            self.events.record(
                EventName.DUTY_ENDED,
                duty.value,
                number=before,
                is_given_up=lease.leaving is not None,
            )
        else:
            self.events.record(
                EventName.DUTY_CLAIMED,
                duty.value,
                number=number,
                origin=notes.origin.value if notes else '',
            )
        self.number_gauge.labels(duty.value).set(number or 0)
        claimed_at = self.clock.wall() if number else 0
        self.claimed_gauge.labels(duty.value).set(claimed_at)
