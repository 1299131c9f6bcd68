"""Tests of the state of a topic and its updates."""

import pytest

from pollenloom.catalogue.keyed_record import KeyedRecord
from pollenloom.catalogue.topic_state import RESEND_SECONDS, TopicState
from pollenloom.core.ids import Offset, StoreEra

MAX_AGE_SECONDS = 1.0
NOW = 50.0
ERA = StoreEra(1)


def record(offset: int) -> KeyedRecord:
    """Return a record at an offset."""
    return KeyedRecord(f'key-{offset}', b'payload', Offset(offset))


@pytest.fixture
def reader() -> TopicState:
    """State of a router that has read up to offset 10."""
    state = TopicState(MAX_AGE_SECONDS)
    state.begin(Offset(10), ERA, NOW)
    return state


@pytest.fixture
def member() -> TopicState:
    """State of another router, at the same offset."""
    state = TopicState(MAX_AGE_SECONDS)
    state.begin(Offset(10), ERA, NOW)
    return state


def read(state: TopicState, offsets: range, now: float) -> None:
    """Read records from the store into a state."""
    state.read_at = now
    records = tuple(map(record, offsets))
    state.advance(Offset(offsets.stop), records, now)


def relay(
    member: TopicState, reader: TopicState, now: float
) -> list[int] | None:
    """Relay an update; return the offsets that were new, None after a gap."""
    update = reader.make_update(now)
    assert update is not None
    records = member.apply_update(update, now)
    if records is None:
        return None
    member.advance(update.next_offset, records, now)
    return [received.offset for received in records]


def test_records_are_applied_once(
    reader: TopicState, member: TopicState
) -> None:
    """Guards against records that are lost or applied twice."""
    read(reader, range(10, 13), NOW)
    assert relay(member, reader, NOW) == [10, 11, 12]
    read(reader, range(13, 14), NOW + 0.1)
    assert relay(member, reader, NOW + 0.1) == [13]
    assert relay(member, reader, NOW + 0.2) == []


def test_update_after_a_gap_is_not_applied(
    reader: TopicState,
    member: TopicState,
) -> None:
    """Guards against a gap in the records that is not detected."""
    read(reader, range(10, 13), NOW)
    later = NOW + 2 * RESEND_SECONDS
    read(reader, range(13, 14), later)
    assert relay(member, reader, later) is None
    assert not member.is_relayed(later)


def test_outdated_state_is_not_relayed(reader: TopicState) -> None:
    """Guards against members that rely on a router that lost the store."""
    assert reader.make_update(NOW + MAX_AGE_SECONDS / 2) is not None
    assert reader.make_update(NOW + MAX_AGE_SECONDS * 1.1) is None


def test_updates_relayed_in_a_circle_expire(
    reader: TopicState,
    member: TopicState,
) -> None:
    """Guards against routers that each rely on the other to read the store."""
    for step in range(1, 20):
        now = NOW + step / 10
        for sender, receiver in ((reader, member), (member, reader)):
            update = sender.make_update(now)
            if update is not None:
                receiver.apply_update(update, now)
    end = NOW + 2
    assert not reader.is_relayed(end)
    assert not member.is_relayed(end)


def test_records_received_during_a_read_are_skipped(
    reader: TopicState,
    member: TopicState,
) -> None:
    """Guards against a change that is reverted by an older record."""
    read(reader, range(10, 13), NOW)
    relay(member, reader, NOW)
    read_records = (record(10), record(11), record(12), record(13))
    assert [new.offset for new in member.without_known(read_records)] == [13]


def test_update_of_a_later_era_is_no_proof_of_recent_state(
    reader: TopicState, member: TopicState
) -> None:
    """Guards against members that rely on a position of an older era.

    The collector reads on at lower offsets after the store came back from a
    copy, so that its changes looked known.
    """
    assert relay(member, reader, NOW) == []
    reader.begin(Offset(4), StoreEra(2), NOW)
    read(reader, range(4, 8), NOW)
    assert relay(member, reader, NOW) is None
    assert not member.is_relayed(NOW)


def test_update_of_an_earlier_era_is_not_applied(
    reader: TopicState, member: TopicState
) -> None:
    """Guards against changes that the store lost, from a late collector."""
    member.begin(Offset(10), StoreEra(2), NOW)
    read(reader, range(10, 13), NOW)
    assert relay(member, reader, NOW) is None
    assert not member.is_relayed(NOW)


def test_state_that_was_relayed_before_a_restore_is_not_recent(
    reader: TopicState, member: TopicState
) -> None:
    """Guards against a router that does not read after it has listed again."""
    assert relay(member, reader, NOW) == []
    assert member.is_relayed(NOW)
    member.begin(Offset(4), StoreEra(2), NOW)
    assert not member.is_relayed(NOW)


def test_routers_that_tell_no_era_are_still_relied_on(
    reader: TopicState, member: TopicState
) -> None:
    """Guards against reads of the store by all routers during an upgrade."""
    reader.era = StoreEra(0)
    read(reader, range(10, 12), NOW)
    assert relay(member, reader, NOW) == [10, 11]
    assert member.is_relayed(NOW)
