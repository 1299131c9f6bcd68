"""Event records of a subject from all routers."""

import msgspec

from pollenloom.core.ids import VmId
from pollenloom.operations.event_entry import EventEntry


class EventReport(msgspec.Struct, frozen=True, kw_only=True):
    """Response of `GET /events`.

    Attributes:
        subject: Id of the request, move or data centre.
        events: Sorted by wall time; clocks of routers may differ slightly.
        not_answered: Routers that sent no reply in time; their records are
            missing.
    """

    subject: str
    events: tuple[EventEntry, ...]
    not_answered: tuple[VmId, ...]
