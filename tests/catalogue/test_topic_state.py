"""What routers tell each other of a topic."""

import pytest

from pollenloom.catalogue.keyed_record import KeyedRecord
from pollenloom.catalogue.topic_state import TOLD_SECONDS, TopicState
from pollenloom.core.ids import Offset

FRESH_SECONDS = 1.0
NOW = 50.0


def record(offset: int) -> KeyedRecord:
    """Return a record at an offset."""
    return KeyedRecord(f'key-{offset}', b'payload', Offset(offset))


@pytest.fixture
def reader() -> TopicState:
    """News of a router that has read up to offset 10."""
    state = TopicState(FRESH_SECONDS)
    state.begin(Offset(10), NOW)
    return state


@pytest.fixture
def member() -> TopicState:
    """News of another router that has read as far."""
    state = TopicState(FRESH_SECONDS)
    state.begin(Offset(10), NOW)
    return state


def read(state: TopicState, offsets: range, now: float) -> None:
    """Let a router read records."""
    state.read_at = now
    records = tuple(map(record, offsets))
    state.advance(Offset(offsets.stop), records, now)


def relay(
    member: TopicState, reader: TopicState, now: float
) -> list[int] | None:
    """Tell the member; return the offsets of what was new to it."""
    update = reader.make_update(now)
    assert update is not None
    records = member.apply_update(update, now)
    if records is None:
        return None
    member.advance(update.next_offset, records, now)
    return [heard.offset for heard in records]


def test_records_are_used_once(reader: TopicState, member: TopicState) -> None:
    """Guards against records that are lost or applied twice."""
    read(reader, range(10, 13), NOW)
    assert relay(member, reader, NOW) == [10, 11, 12]
    read(reader, range(13, 14), NOW + 0.1)
    assert relay(member, reader, NOW + 0.1) == [13]
    assert relay(member, reader, NOW + 0.2) == []


def test_member_that_missed_records_is_told_nothing(
    reader: TopicState,
    member: TopicState,
) -> None:
    """Guards against a gap that nobody notices."""
    read(reader, range(10, 13), NOW)
    later = NOW + 2 * TOLD_SECONDS
    read(reader, range(13, 14), later)
    assert relay(member, reader, later) is None
    assert not member.is_relayed(later)


def test_old_news_are_not_told(reader: TopicState) -> None:
    """Guards against members of a router that has lost the store."""
    assert reader.make_update(NOW + FRESH_SECONDS / 2) is not None
    assert reader.make_update(NOW + FRESH_SECONDS * 1.1) is None


def test_news_that_go_in_a_circle_get_old(
    reader: TopicState,
    member: TopicState,
) -> None:
    """Guards against routers that each wait for the other to read."""
    for step in range(1, 20):
        now = NOW + step / 10
        for one, other in ((reader, member), (member, reader)):
            update = one.make_update(now)
            if update is not None:
                other.apply_update(update, now)
    end = NOW + 2
    assert not reader.is_relayed(end)
    assert not member.is_relayed(end)


def test_read_that_news_have_overtaken_is_left_out(
    reader: TopicState,
    member: TopicState,
) -> None:
    """Guards against an order that is taken back by an older record."""
    read(reader, range(10, 13), NOW)
    relay(member, reader, NOW)
    own = (record(10), record(11), record(12), record(13))
    assert [new.offset for new in member.unknown(own)] == [13]
