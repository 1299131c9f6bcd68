"""Orders that a holder still has to send."""

from typing import Final

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, ServiceId
from pollenloom.scaling.planned_order import PlannedOrder

# Time to the first repeat of a call that failed, and the longest one; it
# doubles with each failure. Calls are billed.
RETRY_SECONDS: Final = 0.5
MAX_RETRY_SECONDS: Final = 4.0

Subject = tuple[ServiceId, DataCentreId]


class OrderQueue:
    """Newest order for each service and data centre, until it is accepted.

    An order whose answer was lost may still take effect, also later than the
    next one would. It is repeated unchanged until it is answered, and a newer
    one for the same subject waits. Subjects take turns, so that an order which
    the platform always rejects does not hold up the others.

    Attributes:
        waiting: Newest order of each subject that is not accepted yet; the
            first one is next.
        unanswered: Orders that may have taken effect, by subject.
        not_before: When the next call may be made, monotonic seconds.
        retry_seconds: Wait after the next failure.
    """

    def __init__(self) -> None:
        self.waiting: dict[Subject, PlannedOrder] = {}
        self.unanswered: dict[Subject, PlannedOrder] = {}
        self.not_before = float('-inf')
        self.retry_seconds = RETRY_SECONDS

    def put(self, planned: PlannedOrder) -> None:
        """Add an order, which replaces one that was not sent yet."""
        self.waiting[subject_of(planned)] = planned

    def due(self, now: float) -> PlannedOrder | None:
        """Return the order to send at `now`, if any."""
        if now < self.not_before:
            return None
        subject = next(iter(self.waiting), None)
        if subject is None:
            return None
        return self.unanswered.get(subject) or self.waiting[subject]

    def accepted(self, planned: PlannedOrder) -> None:
        """Record that the platform accepted an order."""
        subject = subject_of(planned)
        self.retry_seconds = RETRY_SECONDS
        self.unanswered.pop(subject, None)
        if self.waiting.get(subject) == planned:
            self.waiting.pop(subject)

    def failed(
        self, planned: PlannedOrder, failure: Failure, now: float
    ) -> None:
        """Record that a call failed; the next one waits."""
        subject = subject_of(planned)
        if failure.kind is ErrorKind.PLATFORM_UNKNOWN:
            self.unanswered[subject] = planned
        self.waiting[subject] = self.waiting.pop(subject, planned)
        seconds = failure.retry_after_seconds or self.retry_seconds
        self.not_before = now + seconds
        self.retry_seconds = min(MAX_RETRY_SECONDS, self.retry_seconds * 2)


def subject_of(planned: PlannedOrder) -> Subject:
    """Return what an order is about."""
    return planned.order.service, planned.order.data_centre
