"""Claim and renewal of one duty."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pollenloom.duties.duty_notes import DutyNotes, NotesOrigin
from pollenloom.duties.duty_record import DutyRecord
from pollenloom.duties.lease_step import LeaseStep
from pollenloom.duties.lease_write import EndedLease, HeldLease, LeaseWrite
from pollenloom.duties.store_position import StorePosition
from pollenloom.duties.topic_sight import NO_NUMBER, TopicSight

if TYPE_CHECKING:
    from pollenloom.core.ids import FencingNumber, Offset, StoreEra, VmId
    from pollenloom.duties.instant import Instant
    from pollenloom.duties.lease_write import LeaseTerms

# Writes without an answer that are remembered. If an older one takes effect, it
# does not prolong the hold.
MAX_UNANSWERED: Final = 16


@dataclass(slots=True)
class DutyLease:
    """Decides when a router reads, claims, renews and releases a duty.

    A claim is a record appended on the condition that the topic has not
    changed, after this router has known its end for longer than a lease.
    Writes are therefore in one order, and a holder that can't write has lost
    the duty by its own clock before another one claims it.

    Attributes:
        vm: This router.
        process: Random id of this process.
        terms: Times of the lease.
        rested_since: Start of the process, or when its last hold ended. A
            released duty is claimed at once only by a router that did not hold
            it within the time of a lease, so that two routers do not hold it
            in turns within that time.
        sight: What is known of the topic.
        held: The proof; None while this router does not hold the duty.
        leaving: The hold that is being released; None if there is none.
        sequence: Number of the latest write.
        unanswered: Writes that may still have taken effect, by sequence.
        notes: Notes that the next write carries.
        notes_version: Version of these notes.
        saved_version: Latest version that a successful write carried.
        inherited: Notes at the beginning of the latest hold.
    """

    vm: 'VmId'
    process: str
    terms: 'LeaseTerms'
    rested_since: 'Instant'
    sight: TopicSight = field(default_factory=TopicSight)
    held: HeldLease | None = None
    leaving: EndedLease | None = None
    sequence: int = 0
    unanswered: dict[int, LeaseWrite] = field(default_factory=dict)
    notes: str = ''
    notes_version: int = 0
    saved_version: int = 0
    inherited: DutyNotes | None = None

    def valid_seconds(self, now: 'Instant') -> float:
        """Return how long this router still holds the duty; 0 if it doesn't."""
        if self.held is None:
            return 0
        elapsed = now.longest_since(self.held.valid_from)
        return max(0, self.terms.lease - elapsed)

    def step(self, now: 'Instant', claim_delay: float | None) -> LeaseStep:
        """Return what to do now.

        Args:
            now: Present time.
            claim_delay: Seconds by which a claim waits for those of other
                routers; None if this router must not claim.
        """
        if self.held is not None and self.valid_seconds(now) <= 0:
            self.end_hold(now)
        if self.leaving is not None:
            return self.step_to_release(self.leaving, now)
        if self.held is not None:
            return self.step_as_holder(self.held, now)
        if claim_delay is None:
            return LeaseStep.WAIT
        return self.step_to_claim(now, claim_delay)

    def may_claim_soon(self, now: 'Instant') -> bool:
        """Whether a step may depend on the delay of a claim."""
        if self.held is not None:
            return False
        if self.sight.observed_at is None:
            return True
        waited = now.shortest_since(self.sight.observed_at)
        is_free = self.sight.is_free or self.sight.is_released()
        return is_free or waited >= self.terms.lease + self.terms.margin

    def step_to_claim(self, now: 'Instant', claim_delay: float) -> LeaseStep:
        """Return the step of a router that may claim the duty."""
        if self.sight.observed_at is None:
            return LeaseStep.READ
        if self.sight.is_free and not self.sight.is_read:
            return LeaseStep.READ
        wait = self.terms.lease + self.terms.margin
        is_rested = now.shortest_since(self.rested_since) >= wait
        if self.sight.is_released() and is_rested:
            wait = 0
        if now.shortest_since(self.sight.observed_at) < wait + claim_delay:
            return LeaseStep.WAIT
        # A position that gives no higher number is not that of the store.
        is_claimable = self.sight.is_claimable()
        return LeaseStep.CLAIM if is_claimable else LeaseStep.READ

    def step_to_release(self, leaving: EndedLease, now: 'Instant') -> LeaseStep:
        """Return the step of a router that has given the duty up."""
        elapsed = now.longest_since(leaving.ended_at)
        is_lost = self.sight.contradicts(self.process, leaving.number)
        if is_lost or elapsed > self.terms.lease:
            # Others claim the duty without a record as well.
            self.leaving = None
            return LeaseStep.WAIT
        if elapsed < self.terms.release:
            return LeaseStep.WAIT
        return LeaseStep.RELEASE if self.sight.is_read else LeaseStep.READ

    def step_as_holder(self, held: HeldLease, now: 'Instant') -> LeaseStep:
        """Return the step of the holder."""
        if not self.sight.is_read:
            return LeaseStep.READ
        if not self.sight.is_current(held.number):
            # The store came back from a copy. Nobody else can claim before
            # this proof has ended, so the holder claims without waiting.
            is_claimable = self.sight.is_claimable()
            return LeaseStep.CLAIM if is_claimable else LeaseStep.READ
        is_due = (
            now.longest_since(held.valid_from) >= self.terms.renewal
            or self.notes_version > self.saved_version
        )
        return LeaseStep.RENEW if is_due else LeaseStep.WAIT

    def begin_write(self, step: LeaseStep, now: 'Instant') -> LeaseWrite:
        """Return the write of a step, to be sent after `now`.

        Raises:
            ValueError: If this is no time for that step.
        """
        position = self.sight.position
        if position is None:
            raise ValueError('the end of the topic is unknown')
        origin: NotesOrigin | None = None
        notes = self.notes
        if step is LeaseStep.CLAIM:
            number = position.fencing_number
            origin = NotesOrigin.OWN
            if self.held is None:
                origin = self.sight.notes_origin()
                notes = self.sight.notes()
        else:
            hold = self.held or self.leaving
            if hold is None:
                raise ValueError('the duty is not held')
            number = hold.number
        self.sequence += 1
        record = DutyRecord(
            self.vm,
            self.process,
            number,
            self.sequence,
            notes,
            is_released=step is LeaseStep.RELEASE,
        )
        continued = NO_NUMBER
        if origin is NotesOrigin.OWN and self.held is not None:
            continued = self.held.number
        write = LeaseWrite(
            position, record, now, origin, continued, self.notes_version
        )
        self.unanswered[self.sequence] = write
        if len(self.unanswered) > MAX_UNANSWERED:
            self.unanswered.pop(next(iter(self.unanswered)))
        return write

    def write_succeeded(
        self,
        write: LeaseWrite,
        offset: 'Offset',
        era: 'StoreEra',
        now: 'Instant',
    ) -> None:
        """Record that the store has taken a write.

        Args:
            write: The write.
            offset: Offset of its record.
            era: Era of the store that took it.
            now: Time after the answer, or after the record was read.
        """
        position = StorePosition(era, offset).after_record(offset)
        self.sight.read(position, write.record, now)
        if era != write.position.era:
            # The store came back from a copy that ends at the same offset, so
            # the record follows another one than it was meant for.
            return
        self.unanswered.clear()
        if write.record.is_released:
            self.leaving = None
            self.rested_since = now
        elif self.leaving is None:
            self.prove(write)

    def prove(self, write: LeaseWrite) -> None:
        """Hold the duty by a successful write."""
        number = write.record.number
        since = write.sent_at
        if write.origin is not None:
            self.notes = write.record.notes
            self.inherited = DutyNotes(
                number, self.notes, write.origin, write.continued
            )
        elif self.held is not None:
            since = self.held.since
        self.saved_version = write.notes_version
        self.held = HeldLease(number, since, write.sent_at)

    def write_failed(self) -> None:
        """Record that a write failed or may have failed; read first."""
        self.sight.is_read = False

    def observe(
        self,
        position: StorePosition,
        record: DutyRecord | None,
        now: 'Instant',
    ) -> None:
        """Record what a read of the topic has found.

        Args:
            position: End of the topic.
            record: The record directly before it; None if there is none or it
                is not valid.
            now: Time after the answer.
        """
        write = None
        if record is not None and record.process == self.process:
            write = self.unanswered.get(record.sequence)
        if write is not None:
            meant = write.position
            if position == meant.after_record(meant.end):
                self.write_succeeded(write, meant.end, position.era, now)
                return
        self.sight.read(position, record, now)
        if self.held is not None and self.sight.contradicts(
            self.process, self.held.number
        ):
            self.end_hold(now)

    def hear(
        self,
        position: StorePosition,
        number: 'FencingNumber',
        now: 'Instant',
        *,
        is_released: bool,
    ) -> None:
        """Record an end of the topic that another router has told.

        The write that ended there was sent before. Nothing else is believed:
        a claim at another end of the topic fails.
        """
        self.sight.hear(position, number, now, is_released=is_released)

    def give_up(self, now: 'Instant') -> bool:
        """Stop to prove the duty; return whether this router held it."""
        if self.held is None or self.valid_seconds(now) <= 0:
            return False
        self.leaving = EndedLease(self.held.number, now)
        self.end_hold(now)
        return True

    def end_hold(self, now: 'Instant') -> None:
        """Stop to prove the duty."""
        self.held = None
        self.rested_since = now

    def put_notes(self, notes: str) -> int:
        """Replace the notes; return their version, to be written at once."""
        self.notes = notes
        self.notes_version += 1
        return self.notes_version
