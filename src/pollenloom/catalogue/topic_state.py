"""What a router has read of one topic, and updates for other routers."""

from collections import deque
from dataclasses import dataclass
from typing import Annotated, Final

import msgspec

from pollenloom.catalogue.keyed_record import KeyedRecord
from pollenloom.core.ids import NO_ERA, Offset, StoreEra

# Each change is sent for this long, in ten datagrams, so that single lost
# datagrams do not matter.
RESEND_SECONDS: Final = 1.0
# Offsets have 64 bits in the store.
MAX_OFFSET: Final = 2**63 - 1
# Topics are relayed for at most 20 s after a read; see `StoreFleetDirectory`.
MAX_SENT_AGE_SECONDS: Final = 60


@dataclass(frozen=True, slots=True)
class TopicChange:
    """A range of offsets with those of its records that changed something.

    Attributes:
        added_at: When the range was added, monotonic seconds.
        start: First offset of the range.
        next_offset: Offset after the range.
        records: Records that changed something.
    """

    added_at: float
    start: Offset
    next_offset: Offset
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True, slots=True)
class TopicUpdate:
    """Update of one topic in a datagram.

    Attributes:
        start: Offset that the receiver must have reached to use the update.
        next_offset: Offset after the last one that the sender knows.
        age: Seconds since the store was asked for this state, by the sender or
            by the router from which the sender received it.
        records: Records from `start` on that changed something.
        era: Era of the offsets; 0 from routers that tell none.
    """

    start: Annotated[Offset, msgspec.Meta(ge=0, le=MAX_OFFSET)]
    next_offset: Annotated[Offset, msgspec.Meta(ge=0, le=MAX_OFFSET)]
    age: Annotated[float, msgspec.Meta(ge=0, le=MAX_SENT_AGE_SECONDS)]
    records: tuple[KeyedRecord, ...]
    era: Annotated[StoreEra, msgspec.Meta(ge=0, le=MAX_OFFSET)] = NO_ERA


class TopicState:
    """Position in a topic, its age, and the latest changes.

    Attributes:
        position: Next offset to read; None until all keys were read once.
        era: Era of the position.
        read_at: When this router sent its latest successful read, monotonic
            seconds.
        relayed_at: When the router whose updates arrive here last read the
            store, monotonic seconds.
        max_age_seconds: Age up to which the state is relayed, and relayed
            state is used instead of a read.
        changes: Changes that are still sent to other routers.
    """

    def __init__(self, max_age_seconds: float) -> None:
        self.max_age_seconds = max_age_seconds
        self.position: Offset | None = None
        self.era = NO_ERA
        self.read_at = float('-inf')
        self.relayed_at = float('-inf')
        self.changes: deque[TopicChange] = deque()

    def begin(
        self, position: Offset, era: StoreEra, requested_at: float
    ) -> None:
        """Start at a position after all keys were read."""
        if era != self.era:
            self.era = era
            self.relayed_at = float('-inf')
        self.position = position
        self.read_at = requested_at
        self.changes.clear()

    def advance(
        self,
        next_offset: Offset,
        records: tuple[KeyedRecord, ...],
        now: float,
    ) -> None:
        """Add records that were read or received, unless already known."""
        if self.position is None or next_offset <= self.position:
            return
        change = TopicChange(now, self.position, next_offset, records)
        self.changes.append(change)
        self.position = next_offset

    def without_known(
        self,
        records: tuple[KeyedRecord, ...],
    ) -> tuple[KeyedRecord, ...]:
        """Leave out records that were received during a read of the store."""
        position = self.position or 0
        return tuple(record for record in records if record.offset >= position)

    def make_update(self, now: float) -> TopicUpdate | None:
        """Return the update for others; None if there is no recent state."""
        while self.changes and self.changes[0].added_at < now - RESEND_SECONDS:
            self.changes.popleft()
        age = now - max(self.read_at, self.relayed_at)
        if self.position is None or age > self.max_age_seconds:
            return None
        start = self.changes[0].start if self.changes else self.position
        records = tuple(
            record for change in self.changes for record in change.records
        )
        return TopicUpdate(start, self.position, age, records, self.era)

    def apply_update(
        self,
        update: TopicUpdate,
        now: float,
    ) -> tuple[KeyedRecord, ...] | None:
        """Return the new records of an update; None if there is a gap.

        Offsets of different eras can't be compared. An update of a later era
        shows that this state is of an older copy, and the store must be read.
        """
        if update.era > self.era:
            self.relayed_at = float('-inf')
        if self.position is None or self.is_of_another_era(update):
            return None
        if update.start > self.position:
            return None
        self.relayed_at = max(self.relayed_at, now - update.age)
        if update.next_offset <= self.position:
            return ()
        return self.without_known(update.records)

    def is_of_another_era(self, update: TopicUpdate) -> bool:
        """Whether an update tells an era that is not the one of this state."""
        return update.era not in {NO_ERA, self.era}

    def is_relayed(self, now: float) -> bool:
        """Whether relayed state is recent enough not to read the store."""
        return now - self.relayed_at < self.max_age_seconds
