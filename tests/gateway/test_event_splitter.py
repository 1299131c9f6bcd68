"""Splitting of streams into complete events."""

import pytest

from pollenloom.gateway.event_splitter import EventSplitter


@pytest.fixture
def splitter() -> EventSplitter:
    """A splitter for a stream that is resumed after event 3."""
    return EventSplitter('3')


def test_only_complete_events_are_returned(splitter: EventSplitter) -> None:
    """Guards against an interrupted stream that ends inside an event."""
    assert splitter.feed(b'id: 4\ndata: a\n\nid: 5\nda') == (
        b'id: 4\ndata: a\n\n'
    )
    assert splitter.last_event_id == '4'
    assert splitter.feed(b'ta: b\r\n\r\nid: 6') == b'id: 5\ndata: b\r\n\r\n'
    assert splitter.last_event_id == '5'
    assert bytes(splitter.partial) == b'id: 6'


@pytest.mark.parametrize(
    'events',
    [b'data: no id: 9\n\n', b': comment\n\n'],
)
def test_events_without_an_id_keep_the_last_one(
    splitter: EventSplitter,
    events: bytes,
) -> None:
    """Guards against a stream that is resumed from the wrong event.

    Events without an id must not reset the id of the last event.
    """
    assert splitter.last_event_id == '3'
    splitter.feed(b'id: 4\n\nid: 5\n\n')
    splitter.feed(events)
    assert splitter.last_event_id == '5'
