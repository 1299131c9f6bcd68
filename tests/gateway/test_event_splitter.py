"""Whole events of a stream."""

import pytest

from pollenloom.gateway.event_splitter import EventSplitter


@pytest.fixture
def splitter() -> EventSplitter:
    """A splitter of a stream that goes on after event 3."""
    return EventSplitter('3')


def test_events_are_passed_whole(splitter: EventSplitter) -> None:
    """Guards against a broken stream that ends inside an event."""
    assert splitter.take(b'id: 4\ndata: a\n\nid: 5\nda') == (
        b'id: 4\ndata: a\n\n'
    )
    assert splitter.last_event == '4'
    assert splitter.take(b'ta: b\r\n\r\nid: 6') == b'id: 5\ndata: b\r\n\r\n'
    assert (splitter.last_event, splitter.rest) == ('5', b'id: 6')


@pytest.mark.parametrize(
    'events',
    [b'data: no id: 9\n\n', b': comment\n\n'],
)
def test_events_without_an_id_keep_the_last_one(
    splitter: EventSplitter,
    events: bytes,
) -> None:
    """Guards against a stream that is resumed from its start."""
    assert splitter.last_event == '3'
    splitter.take(b'id: 4\n\nid: 5\n\n')
    splitter.take(events)
    assert splitter.last_event == '5'
