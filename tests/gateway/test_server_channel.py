"""Parsing of responses on a connection to a backend server."""

import itertools
import socket
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.gateway.response_buffers import ResponseBuffers
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_event import (
    ChannelEnd,
    ResponseHead,
)

REQUEST_ID = b'a1'
ID_HEADER = b'x-id'
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\nhalf'
FRAMED = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 4\r\n\r\ndone'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nX-Id: a1\r\n\r\n'
OTHER = b'HTTP/1.1 200 OK\r\nX-Id: a0\r\nContent-Length: 2\r\n\r\nno'


class EndedTransport:
    """A transport of a connection that its peer has closed or reset."""

    def __init__(self, *, is_reset: bool) -> None:
        self.is_reset = is_reset
        self.tcp_socket = socket.socket()
        self.is_aborted = False

    def get_extra_info(self, _: str) -> 'EndedTransport':
        """Return this object, which also stands in for the socket."""
        return self

    def getsockopt(self, _level: int, option: int, _size: int = 0) -> Any:
        """Return the state, or no pending error: a write has returned it."""
        if option == socket.TCP_INFO:
            return b'\x07' if self.is_reset else b'\x08'
        return 0

    def is_closing(self) -> bool:
        """Return False; the end of file leaves the transport open."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return 0; the request is written."""
        return 0

    def fileno(self) -> int:
        """Return a socket whose peer has acknowledged everything."""
        return self.tcp_socket.fileno()

    def abort(self) -> None:
        """Record the abort."""
        self.is_aborted = True

    def pause_reading(self) -> None:
        """Do nothing; the tests feed the channel directly."""


def open_channel(*, is_reset: bool = False) -> ServerChannel:
    """Return a channel that expects the response to a request."""
    channel = ServerChannel(ID_HEADER, ResponseBuffers())
    transport: Any = EndedTransport(is_reset=is_reset)
    channel.connection_made(transport)
    channel.expect_response(REQUEST_ID, is_head_request=False)
    return channel


def body_of(events: list[ResponseHead | bytearray | ChannelEnd]) -> bytes:
    """Return the body in a list of events."""
    return b''.join(part for part in events if isinstance(part, bytearray))


@pytest.mark.parametrize(
    ('is_reset', 'end'),
    [(False, ChannelEnd.COMPLETE), (True, ChannelEnd.RESET)],
)
def test_reset_is_distinguished_from_end_of_response(
    is_reset: bool,
    end: ChannelEnd,
) -> None:
    """Guards against a truncated response that is relayed as complete.

    libuv reports a hang-up after a partial read as end of file even after a
    reset, so a response without a length looked complete. The pending error of
    the socket is gone if a write of the request has returned it. Found with the
    carromwerk example (run hunt-81b2-15); deploy/days/unframed-crash.toml
    reproduces it.
    """
    channel = open_channel(is_reset=is_reset)
    channel.data_received(UNFRAMED)
    channel.eof_received()
    channel.connection_lost(None)
    assert list(channel.queue.events)[-1] is end


def test_truncated_framed_response_is_not_complete() -> None:
    """Guards against accepting a body shorter than its Content-Length."""
    channel = open_channel()
    channel.data_received(FRAMED[:-1])
    channel.eof_received()
    assert list(channel.queue.events)[-1] is ChannelEnd.CLOSED


@given(st.lists(st.integers(0, 200), max_size=6))
def test_response_does_not_depend_on_packet_boundaries(cuts: list[int]) -> None:
    """Guards against parsing that depends on the size of packets.

    Interim responses and those to other requests must be skipped in any case.
    """
    content = INTERIM + OTHER + FRAMED
    channel = open_channel()
    offsets = sorted({0, len(content), *(cut % len(content) for cut in cuts)})
    for start, end in itertools.pairwise(offsets):
        channel.data_received(content[start:end])
    events = list(channel.queue.events)
    heads = [entry for entry in events if isinstance(entry, ResponseHead)]
    assert [head.status for head in heads] == [200]
    assert body_of(events) == b'done'
    assert events[-1] is ChannelEnd.COMPLETE


@given(st.binary(max_size=300))
def test_arbitrary_bytes_end_the_response(content: bytes) -> None:
    """Guards against bytes that raise an exception in the parser."""
    channel = open_channel()
    channel.data_received(content)
    channel.connection_lost(None)
    assert list(channel.queue.events)[-1] in set(ChannelEnd)


def test_bytes_without_a_request_abort_the_connection() -> None:
    """Guards against an extra response that is used for the next request."""
    channel = open_channel()
    channel.data_received(FRAMED)
    channel.data_received(OTHER)
    assert not channel.is_reusable
    assert cast('Any', channel.transport).is_aborted


PARTIAL_HEADS = [
    b'HTTP/1.1 2',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n',
    b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 4\r\n',
    b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 4\r\n\r',
]


@pytest.mark.parametrize('before', [b'', INTERIM, OTHER])
@pytest.mark.parametrize('head', PARTIAL_HEADS)
@pytest.mark.parametrize('is_reset', [False, True])
def test_partial_head_is_no_response(
    before: bytes, head: bytes, is_reset: bool
) -> None:
    """Guards against an empty success of a server that stopped in the head.

    Reported by other operators.
    """
    channel = open_channel(is_reset=is_reset)
    channel.data_received(before)
    channel.data_received(head)
    if not is_reset:
        channel.eof_received()
    channel.connection_lost(None)
    assert not any(
        isinstance(entry, ResponseHead) for entry in channel.queue.events
    )
    assert list(channel.queue.events)[-1] in {
        ChannelEnd.CLOSED,
        ChannelEnd.RESET,
    }


@pytest.mark.parametrize('head', PARTIAL_HEADS)
def test_partial_head_on_a_kept_connection_is_no_response(head: bytes) -> None:
    """Guards against state of an earlier response on the connection."""
    channel = open_channel()
    channel.data_received(FRAMED)
    channel.expect_response(REQUEST_ID, is_head_request=False)
    channel.data_received(head)
    channel.eof_received()
    assert list(channel.queue.events) == [ChannelEnd.CLOSED]
