"""Connection to a server, fed with bytes by the tests."""

import errno
import itertools
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_event import (
    ChannelEnd,
    ResponseHead,
    ServerEvent,
)

REQUEST_ID = b'a1'
ID_HEADER = b'x-id'
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\nhalf'
FRAMED = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 4\r\n\r\ndone'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nX-Id: a1\r\n\r\n'
OTHER = b'HTTP/1.1 200 OK\r\nX-Id: a0\r\nContent-Length: 2\r\n\r\nno'


class EndedTransport:
    """A transport whose connection has ended, with or without an error."""

    def __init__(self, pending_error: int = 0) -> None:
        self.pending_error = pending_error
        self.is_aborted = False

    def get_extra_info(self, _: str) -> 'EndedTransport':
        """Stand for the socket as well."""
        return self

    def getsockopt(self, _level: int, _option: int) -> int:
        """Return the error that is pending."""
        return self.pending_error

    def abort(self) -> None:
        """Note the end."""
        self.is_aborted = True

    def pause_reading(self) -> None:
        """Nothing is read any more."""


def open_channel(pending_error: int = 0) -> ServerChannel:
    """Return a channel that waits for the answer to a request."""
    channel = ServerChannel(ID_HEADER)
    transport: Any = EndedTransport(pending_error)
    channel.connection_made(transport)
    channel.begin(REQUEST_ID, is_head=False)
    return channel


def body_of(events: list[ServerEvent]) -> bytes:
    """Return the body in a list of events."""
    return b''.join(part for part in events if isinstance(part, bytes))


@pytest.mark.parametrize(
    ('pending_error', 'end'),
    [(0, ChannelEnd.COMPLETE), (errno.ECONNRESET, ChannelEnd.RESET)],
)
def test_reset_is_told_from_the_end_of_an_answer(
    pending_error: int,
    end: ChannelEnd,
) -> None:
    """Guards against half an answer that is passed on as a whole one.

    Found by a hunt on carromwerk (hunt-81b2-15) and shown by the day
    deploy/days/unframed-crash.toml: libuv reports a hang-up after a partial
    read as an end of file, also after a reset.
    """
    channel = open_channel(pending_error)
    channel.data_received(UNFRAMED)
    channel.eof_received()
    channel.connection_lost(None)
    assert list(channel.events)[-1] is end


def test_framed_answer_that_is_cut_is_not_complete() -> None:
    """Guards against a short body with a whole one's length."""
    channel = open_channel()
    channel.data_received(FRAMED[:-1])
    channel.eof_received()
    assert list(channel.events)[-1] is ChannelEnd.CLOSED


@given(st.lists(st.integers(0, 200), max_size=6))
def test_answer_is_the_same_however_it_is_cut(cuts: list[int]) -> None:
    """Guards against parsing that depends on the size of packets."""
    content = INTERIM + OTHER + FRAMED
    channel = open_channel()
    places = sorted({0, len(content), *(cut % len(content) for cut in cuts)})
    for start, end in itertools.pairwise(places):
        channel.data_received(content[start:end])
    events = list(channel.events)
    heads = [entry for entry in events if isinstance(entry, ResponseHead)]
    assert [head.status for head in heads] == [200]
    assert body_of(events) == b'done'
    assert events[-1] is ChannelEnd.COMPLETE


@given(st.binary(max_size=300))
def test_any_bytes_end_or_wait(content: bytes) -> None:
    """Guards against bytes of a server that raise in the parser."""
    channel = open_channel()
    channel.data_received(content)
    channel.connection_lost(None)
    assert list(channel.events)[-1] in set(ChannelEnd)


def test_bytes_without_a_request_end_the_connection() -> None:
    """Guards against an extra answer that is taken for the next one."""
    channel = open_channel()
    channel.data_received(FRAMED)
    channel.data_received(OTHER)
    assert not channel.is_reusable
    assert cast('Any', channel.transport).is_aborted
