"""What a router knows of one topic, as it tells others and hears of them."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from pollenloom.catalogue.keyed_record import KeyedRecord
from pollenloom.core.ids import Offset

# Each change is told for this long, ten times, so that single lost datagrams
# do not matter.
TOLD_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class TopicChange:
    """A stretch of a topic with the records in it that changed something."""

    noted_at: float
    start: Offset
    next_offset: Offset
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True, slots=True)
class TopicUpdate:
    """One topic in a datagram.

    Attributes:
        start: The receiver must have read up to here.
        next_offset: End of what the sender has read.
        age: Seconds since the sender, or whom it heard it from, asked the
            store.
        records: Those in between that changed something.
    """

    start: Offset
    next_offset: Offset
    age: float
    records: tuple[KeyedRecord, ...]


class TopicState:
    """Position in a topic, its age, and the latest changes.

    Attributes:
        position: Where to read on; None until all keys were read once.
        read_at: When the store was last asked by this router, monotonic
            seconds.
        relayed_at: When it was last asked by the one that this router hears
            from.
        fresh_seconds: Age up to which this router need not ask itself.
    """

    def __init__(self, fresh_seconds: float) -> None:
        self.fresh_seconds = fresh_seconds
        self.position: Offset | None = None
        self.read_at = float('-inf')
        self.relayed_at = float('-inf')
        self.changes: deque[TopicChange] = deque()

    def begin(self, position: Offset, asked_at: float) -> None:
        """Start after all keys were read."""
        self.position = position
        self.read_at = asked_at
        self.changes.clear()

    def advance(
        self,
        next_offset: Offset,
        records: tuple[KeyedRecord, ...],
        now: float,
    ) -> None:
        """Note records that were read or heard."""
        if self.position is None or next_offset <= self.position:
            return
        change = TopicChange(now, self.position, next_offset, records)
        self.changes.append(change)
        self.position = next_offset

    def unknown(
        self,
        records: tuple[KeyedRecord, ...],
    ) -> tuple[KeyedRecord, ...]:
        """Leave out records that were heard while the store was asked."""
        position = self.position or 0
        return tuple(record for record in records if record.offset >= position)

    def make_update(self, now: float) -> TopicUpdate | None:
        """Return what to tell others; None if it would be of no use."""
        while self.changes and self.changes[0].noted_at < now - TOLD_SECONDS:
            self.changes.popleft()
        age = now - max(self.read_at, self.relayed_at)
        if self.position is None or age > self.fresh_seconds:
            return None
        start = self.changes[0].start if self.changes else self.position
        records = tuple(
            record for change in self.changes for record in change.records
        )
        return TopicUpdate(start, self.position, age, records)

    def apply_update(
        self,
        update: TopicUpdate,
        now: float,
    ) -> tuple[KeyedRecord, ...] | None:
        """Return records that are new; None if some in between are missing."""
        if self.position is None or update.start > self.position:
            return None
        self.relayed_at = max(self.relayed_at, now - update.age)
        if update.next_offset <= self.position:
            return ()
        return self.unknown(update.records)

    def is_relayed(self, now: float) -> bool:
        """Whether others tell it fresh enough."""
        return now - self.relayed_at < self.fresh_seconds
