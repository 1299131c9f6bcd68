"""Tests of operators' records in a store that comes back from a copy."""

import pytest

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.listing_kind import ListingKind
from pollenloom.catalogue.operator_records import (
    HOLD_SECONDS,
    MAX_SEEN,
    OperatorRecords,
)
from pollenloom.core.ids import NO_ERA, Offset, StoreEra

NOW = 1000.0
ERA = StoreEra(2)
KEY = 'evacuate/almelo'


def record(offset: int, payload: bytes = b'{}', key: str = KEY) -> KeyedRecord:
    """Return a record of an operator."""
    return KeyedRecord(key, payload, Offset(offset))


@pytest.fixture
def records() -> OperatorRecords:
    """Records of a router that began to read at offset 10."""
    records = OperatorRecords()
    records.select(Listing((), Offset(10)), ListingKind.ALL_KEYS, NOW)
    return records


def change(
    records: OperatorRecords, *changes: KeyedRecord, era: StoreEra = NO_ERA
) -> list[bytes]:
    """Read changes; return the payloads that are applied."""
    next_offset = Offset(changes[-1].offset + 1)
    listing = Listing(changes, next_offset, era=era)
    applied = records.select(listing, ListingKind.CHANGES, NOW)
    return [found.payload for found in applied]


def restore(
    records: OperatorRecords, *copied: KeyedRecord, now: float = NOW
) -> list[bytes]:
    """List an older copy; return the payloads that are applied at once."""
    listing = Listing(copied, Offset(12), era=ERA)
    applied = records.select(listing, ListingKind.RESTORED, now)
    return [found.payload for found in applied]


def test_record_that_the_router_had_not_read_is_applied(
    records: OperatorRecords,
) -> None:
    """Guards against a change that waits although it is in the copy.

    The router was cut off from the store when the copy was made.
    """
    assert restore(records, record(14)) == [b'{}']
    assert not records.held


def test_record_at_an_offset_that_was_given_out_again_is_applied(
    records: OperatorRecords,
) -> None:
    """Guards against a new change that is taken for an older one."""
    change(records, record(10, b'1'), record(11, b'', 'other'))
    assert restore(records, record(11, b'2')) == [b'2']


def test_record_from_before_the_start_of_the_router_waits(
    records: OperatorRecords,
) -> None:
    """Guards against an evacuation that was over when the router started."""
    assert not restore(records, record(7))
    assert set(records.held) == {KEY}


def test_older_record_is_applied_if_nobody_writes_again(
    records: OperatorRecords,
) -> None:
    """Guards against a router that never agrees with the store again."""
    change(records, record(10, b'1'))
    change(records, record(11, b'2'))
    restore(records, record(10, b'1'))
    assert not records.take_expired(ERA, NOW + HOLD_SECONDS - 0.1)
    expired = records.take_expired(ERA, NOW + HOLD_SECONDS)
    assert [found.payload for found in expired] == [b'1']
    assert change(records, record(12, b'2')) == [b'2']


def test_another_change_of_a_lost_key_is_applied(
    records: OperatorRecords,
) -> None:
    """Guards against an operator who is not obeyed while a key is held."""
    change(records, record(10, b'1'))
    restore(records)
    assert change(records, record(10, b'3')) == [b'3']
    assert not records.held


def test_key_is_held_through_a_second_listing(
    records: OperatorRecords,
) -> None:
    """Guards against a lost change that ends as the store drops its history."""
    change(records, record(10))
    restore(records)
    listing = Listing((), Offset(12), era=ERA)
    assert not records.select(listing, ListingKind.ALL_KEYS, NOW + 1)
    assert set(records.held) == {KEY}


def test_listing_after_lost_history_removes_what_it_lacks(
    records: OperatorRecords,
) -> None:
    """Guards against an evacuation that outlives its removal."""
    change(records, record(10))
    listing = Listing((), Offset(12))
    removed = records.select(listing, ListingKind.ALL_KEYS, NOW)
    assert removed == [record(12, b'')]


def test_seen_records_are_bounded(records: OperatorRecords) -> None:
    """Guards against memory that grows with each change of an operator."""
    for offset in range(MAX_SEEN + 50):
        change(records, record(offset))
    assert len(records.seen) == MAX_SEEN


def test_record_that_is_listed_where_it_was_read_is_not_applied_again(
    records: OperatorRecords,
) -> None:
    """Guards against an order that begins again as history is dropped."""
    change(records, record(10))
    listing = Listing((record(10),), Offset(12))
    assert not records.select(listing, ListingKind.ALL_KEYS, NOW)


def test_record_that_was_written_once_more_in_a_gap_is_applied(
    records: OperatorRecords,
) -> None:
    """Guards against a repeated order that is taken for the first one."""
    change(records, record(10))
    listing = Listing((record(11),), Offset(12))
    assert records.select(listing, ListingKind.ALL_KEYS, NOW) == [record(11)]


def test_record_written_again_stands_at_its_new_offset(
    records: OperatorRecords,
) -> None:
    """Guards against an order that begins again with the next full listing."""
    change(records, record(10))
    restore(records)
    assert not change(records, record(9), era=ERA)
    listing = Listing((record(9),), Offset(12), era=ERA)
    assert not records.select(listing, ListingKind.ALL_KEYS, NOW)
