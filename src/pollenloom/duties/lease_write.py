"""Values of a lease: its times, its writes and its proof."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import FencingNumber
    from pollenloom.duties.duty_notes import NotesOrigin
    from pollenloom.duties.duty_record import DutyRecord
    from pollenloom.duties.instant import Instant
    from pollenloom.duties.store_position import StorePosition


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Times of a lease, in seconds.

    Attributes:
        lease: How long a successful write proves the duty.
        margin: Time that others wait beyond that. It covers clocks that run
            at different speeds and calls that are still on their way.
        renewal: Age of the latest successful write at which the next is made.
        release: Time between the last proof and the record that releases the
            duty; longer than a call takes.
    """

    lease: float
    margin: float
    renewal: float
    release: float


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A record to append on the condition that the topic ends at a position.

    Attributes:
        position: That position.
        record: The record.
        sent_at: Time before it was sent.
        origin: Origin of the notes for a claim; None for other writes.
        continued: Number of the hold that a claim continues; 0 if it is not
            that of this process.
        notes_version: Version of the notes in it.
    """

    position: 'StorePosition'
    record: 'DutyRecord'
    sent_at: 'Instant'
    origin: 'NotesOrigin | None'
    continued: 'FencingNumber'
    notes_version: int


@dataclass(frozen=True, slots=True)
class HeldLease:
    """Proof of a duty.

    Attributes:
        number: Fencing number.
        since: When the duty was claimed.
        valid_from: Time before the latest successful write was sent.
    """

    number: 'FencingNumber'
    since: 'Instant'
    valid_from: 'Instant'


@dataclass(frozen=True, slots=True)
class EndedLease:
    """A hold that was given up and is not released yet.

    Attributes:
        number: Its fencing number.
        ended_at: When it was given up; nothing is proved since.
    """

    number: 'FencingNumber'
    ended_at: 'Instant'
