"""Event record together with the router that made it."""

import msgspec

from pollenloom.core.ids import VmId
from pollenloom.observability.event_log import Event, EventValue


class EventEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Event record of one router.

    Attributes:
        at: Wall time of the router, in seconds since the Unix epoch.
        vm: Router that recorded it.
        event: Stable name of the event.
        subject: Id of the request, move or data centre.
        fields: Details, such as the reason for a decision.
    """

    at: float
    vm: VmId
    event: str
    subject: str
    fields: dict[str, EventValue]

    @classmethod
    def from_event(cls, event: Event, vm: VmId) -> 'EventEntry':
        """Return the entry of an event recorded by this router."""
        return cls(
            at=event.at,
            vm=vm,
            event=event.name,
            subject=event.subject,
            fields=dict(event.fields),
        )
