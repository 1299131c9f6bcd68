"""What a router knows of the topic of a duty."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pollenloom.core.ids import FencingNumber, StoreEra
from pollenloom.duties.duty_notes import NotesOrigin
from pollenloom.duties.store_position import (
    NUMBERS_PER_ERA,
    StorePosition,
    era_of,
)

if TYPE_CHECKING:
    from pollenloom.duties.duty_record import DutyRecord
    from pollenloom.duties.instant import Instant

NO_NUMBER: Final = FencingNumber(0)


@dataclass(slots=True)
class TopicSight:
    """End of a topic, and since when it is known.

    Attributes:
        position: Latest known end of the topic; None before the first one.
        observed_at: When that end was first known.
        is_read: Whether the record before that end is known.
        record: That record; None if there is none or it is not valid.
        is_free: Whether another router told that the duty is released there.
        first_era: Era of the first known position.
        highest: Highest number of any record or notice.
    """

    position: StorePosition | None = None
    observed_at: 'Instant | None' = None
    is_read: bool = False
    record: 'DutyRecord | None' = None
    is_free: bool = False
    first_era: StoreEra | None = None
    highest: FencingNumber = NO_NUMBER

    def see(self, position: StorePosition, now: 'Instant') -> None:
        """Record an end of the topic."""
        if self.first_era is None:
            self.first_era = position.era
        if position != self.position:
            self.position = position
            self.observed_at = now
            self.is_read = False
            self.record = None
            self.is_free = False

    def read(
        self,
        position: StorePosition,
        record: 'DutyRecord | None',
        now: 'Instant',
    ) -> None:
        """Record an end of the topic and the record directly before it."""
        self.see(position, now)
        self.record = record
        self.is_read = True
        if record is not None:
            self.highest = max(self.highest, record.number)

    def hear(
        self,
        position: StorePosition,
        number: FencingNumber,
        now: 'Instant',
        *,
        is_released: bool,
    ) -> None:
        """Record an end of the topic that another router has told."""
        self.highest = max(self.highest, number)
        if self.position is None or position > self.position:
            self.see(position, now)
            self.is_free = is_released

    def is_claimable(self) -> bool:
        """Whether a claim at this position would get a higher number."""
        return (
            self.position is not None
            and self.is_read
            and self.position.end + 1 < NUMBERS_PER_ERA
            and self.position.fencing_number > self.highest
        )

    def is_released(self) -> bool:
        """Whether the last holder of this era has given the duty up."""
        return (
            self.record is not None
            and self.record.is_released
            and self.is_current(self.record.number)
        )

    def is_current(self, number: FencingNumber) -> bool:
        """Whether a number was claimed in the era of this position."""
        return self.position is not None and era_of(number) == self.position.era

    def contradicts(self, process: str, number: FencingNumber) -> bool:
        """Whether the record shows that a hold of this era has ended."""
        if not self.is_read or not self.is_current(number):
            return False
        return (
            self.record is None
            or self.record.process != process
            or self.record.number != number
        )

    def notes_origin(self) -> NotesOrigin:
        """Return where the notes of another router's claim come from."""
        if self.record is not None and self.is_current(self.record.number):
            return NotesOrigin.PREDECESSOR
        is_unused = (
            self.position is not None
            and self.position.end == 0
            and self.position.era == self.first_era
        )
        return NotesOrigin.NO_HOLDER if is_unused else NotesOrigin.UNKNOWN

    def notes(self) -> str:
        """Return the notes that another router's claim carries on."""
        if self.record is None:
            return ''
        if self.notes_origin() is NotesOrigin.PREDECESSOR:
            return self.record.notes
        return ''
