"""Event records of one subject from all routers."""

import msgspec

from pollenloom.core.ids import VmId
from pollenloom.operations.event_entry import EventEntry


class EventReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /events`.

    Attributes:
        events: Sorted by wall time; clocks of routers differ a little.
        not_answered: Routers whose records are missing.
    """

    subject: str
    events: tuple[EventEntry, ...]
    not_answered: tuple[VmId, ...]
