"""Records of the operators that are in force."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.listing_kind import ListingKind
from pollenloom.routing.store_position import StorePosition

if TYPE_CHECKING:
    from pollenloom.core.ids import Offset, StoreEra

# Operators write again what a store has lost that came back from an older
# copy. Until then, and for twice the time that they give one of their changes
# to be in force, what was in force holds.
HOLD_SECONDS: Final = 10.0
# Records that can be recognised in an older copy. Operators make some 1,500
# changes a day.
MAX_SEEN: Final = 4096
REMOVED: Final = b''


@dataclass(frozen=True, slots=True)
class RecordInForce:
    """What is in force for a key.

    Attributes:
        position: Where it stands in the store.
        digest: Digest of its payload; that of an empty one after a removal.
    """

    position: StorePosition
    digest: int


@dataclass(frozen=True, slots=True)
class HeldRecord:
    """Record of an older copy that does not replace what is in force yet.

    Attributes:
        record: The record; without a payload if the copy has none.
        expires_at: When it is applied unless the operators write the key
            again, monotonic seconds.
    """

    record: KeyedRecord
    expires_at: float


class OperatorRecords:
    """Decides which records of the operators' topic are applied.

    A record that stands where it was read before is not applied again; one
    that was written once more counts as a new one.

    Attributes:
        in_force: What is in force, by key.
        seen: Digests of the latest records, by offset and key.
        first_offset: Position of the first listing. What an older copy has
            before it was in force, or replaced, at that time.
        held: Records of an older copy that wait, by key.
    """

    def __init__(self) -> None:
        self.in_force: dict[str, RecordInForce] = {}
        self.seen: dict[tuple[Offset, str], int] = {}
        self.first_offset: Offset | None = None
        self.held: dict[str, HeldRecord] = {}

    def select(
        self, listing: Listing, kind: ListingKind, now: float
    ) -> list[KeyedRecord]:
        """Return the records of a listing that are to be applied, in order.

        Keys that a full listing lacks are returned as removed.
        """
        records = listing.records
        if kind.has_all_keys:
            records += self.missing(listing)
        if kind is ListingKind.RESTORED:
            self.hold_outdated(records, now)
        if self.first_offset is None:
            self.first_offset = listing.next_offset
        return [
            record
            for record in records
            if not self.is_still_held(record, kind)
            and self.take(record, listing.era, kind)
        ]

    def take(
        self, record: KeyedRecord, era: 'StoreEra', kind: ListingKind
    ) -> bool:
        """Put a record in force; return whether it is to be applied.

        What was lost and is written again as it is in force changes nothing,
        and neither does what an older copy has kept.
        """
        was_held = self.held.pop(record.key, None) is not None
        before = self.in_force.get(record.key)
        after = self.remember(record, era)
        if before is None or before.digest != after.digest:
            return True
        is_same_change = was_held or kind is ListingKind.RESTORED
        return not is_same_change and before.position != after.position

    def hold_outdated(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Hold what an older copy has lost, and what it has from before."""
        self.held = {
            record.key: HeldRecord(record, now + HOLD_SECONDS)
            for record in records
            if self.is_outdated(record)
        }

    def take_expired(self, era: 'StoreEra', now: float) -> list[KeyedRecord]:
        """Return the held records whose time is over; they are applied."""
        expired = [
            held.record for held in self.held.values() if held.expires_at <= now
        ]
        for record in expired:
            self.held.pop(record.key)
            self.remember(record, era)
        return expired

    def missing(self, listing: Listing) -> tuple[KeyedRecord, ...]:
        """Return removals of the keys in force that a full listing lacks."""
        listed = {record.key for record in listing.records}
        removed = xxhash.xxh3_64_intdigest(REMOVED)
        return tuple(
            KeyedRecord(key, REMOVED, listing.next_offset)
            for key, known in self.in_force.items()
            if key not in listed and known.digest != removed
        )

    def is_still_held(self, record: KeyedRecord, kind: ListingKind) -> bool:
        """Whether a listed record waits for its key to be written again."""
        held = self.held.get(record.key)
        return (
            kind.has_all_keys
            and held is not None
            and digest(held.record) == digest(record)
        )

    def is_outdated(self, record: KeyedRecord) -> bool:
        """Whether a record of an older copy is from before what is in force.

        So is a removal: the copy lacks what was written since then.
        """
        known = self.in_force.get(record.key)
        if known is not None and known.digest == digest(record):
            return False
        if not record.payload:
            return True
        if self.seen.get((record.offset, record.key)) == digest(record):
            return True
        return self.first_offset is not None and (
            record.offset < self.first_offset
        )

    def remember(self, record: KeyedRecord, era: 'StoreEra') -> RecordInForce:
        """Note a record that is in force from now on."""
        position = StorePosition(era, record.offset)
        known = RecordInForce(position, digest(record))
        self.in_force[record.key] = known
        self.seen[record.offset, record.key] = known.digest
        if len(self.seen) > MAX_SEEN:
            self.seen.pop(next(iter(self.seen)))
        return known


def digest(record: KeyedRecord) -> int:
    """Return a digest of the payload, of which configurations have megabytes.

    Operators are trusted, so it needs no protection against collisions.
    """
    return xxhash.xxh3_64_intdigest(record.payload)
