"""Event records of decisions, for logs and for `explain`."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, ClassVar

import msgspec
from absl import logging

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock

EventValue = str | int | float | bool | None

# Covers some minutes at 18 requests/s per router; an event has about 300 bytes.
KEPT_EVENTS = 20_000


@dataclass(frozen=True, slots=True)
class Event:
    """One event record.

    Attributes:
        at: Wall time, seconds since the Unix epoch.
        name: Stable name of the event.
        subject: Id that `explain` searches for, such as that of a request.
        fields: Further fields by name.
    """

    at: float
    name: str
    subject: str
    fields: Mapping[str, EventValue]

    def __str__(self) -> str:
        """Return the event as one JSON object."""
        return msgspec.json.encode(
            {'event': self.name, 'subject': self.subject, **self.fields},
        ).decode()


class EventLog(KernelService):
    """Keeps recent event records and writes them to the log."""

    name: ClassVar[KernelServiceName] = KernelServiceName.EVENTS

    def __init__(self, clock: 'Clock', kept_events: int = KEPT_EVENTS) -> None:
        self.clock = clock
        self.events: deque[Event] = deque(maxlen=kept_events)

    async def start(self) -> None:
        """Do nothing; events can be recorded at any time."""

    async def stop(self) -> None:
        """Do nothing; the events stay readable."""

    def record(
        self,
        event_name: str,
        subject: str,
        **fields: EventValue,
    ) -> None:
        """Keep an event and log it; `fields` become fields of the log line."""
        event = Event(
            at=self.clock.wall(),
            name=event_name,
            subject=subject,
            fields=MappingProxyType(fields),
        )
        self.events.append(event)
        # The JSON formatter uses the event object instead of the message.
        logging.info('%s', event, extra={'event_record': event})

    def find_events(self, subject: str) -> tuple[Event, ...]:
        """Return the kept events of one subject, oldest first."""
        return tuple(event for event in self.events if event.subject == subject)
