"""What the other connections to a server show when a response ends."""

import socket
from collections.abc import Callable
from typing import Any, cast

import pytest

from pollenloom.core.ids import ServerId
from pollenloom.gateway.open_connections import OpenConnections
from pollenloom.gateway.response_buffers import ResponseBuffers
from pollenloom.gateway.response_end import EarlierConnections
from pollenloom.gateway.server_channel import ServerChannel

SERVER = ServerId('i-0')
REQUEST_ID = b'a1'
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\nhalf'
ANNOUNCED = (
    b'HTTP/1.1 200 OK\r\nX-Id: a1\r\nConnection: close\r\n'
    b'Content-Length: 4\r\n\r\ndone'
)
NOW = 100.0
EARLIER = 90.0
ESTABLISHED = 1
CLOSE_WAIT = 8


class FakeTransport:
    """Transport and socket of a connection in a given state of TCP."""

    def __init__(self) -> None:
        self.state = ESTABLISHED
        self.tcp_socket = socket.socket()

    def get_extra_info(self, _: str) -> 'FakeTransport':
        """Return this object, which also stands in for the socket."""
        return self

    def getsockopt(self, _level: int, _option: int, _size: int) -> bytes:
        """Return the state."""
        return bytes((self.state,))

    def is_closing(self) -> bool:
        """Return False; nothing closes it."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return 0; everything is written."""
        return 0

    def fileno(self) -> int:
        """Return a socket whose peer has acknowledged everything."""
        return self.tcp_socket.fileno()

    def abort(self) -> None:
        """Do nothing; tests tell the channel that it is closed."""


def open_channel(
    connections: OpenConnections, opened_at: float = EARLIER
) -> ServerChannel:
    """Return an idle connection to the server."""
    channel = ServerChannel(b'x-id', ResponseBuffers())
    transport = cast('Any', FakeTransport())
    channel.connection_made(transport)
    channel.history.on_closed = lambda: connections.closed(SERVER, channel, NOW)
    connections.add(SERVER, channel, opened_at)
    return channel


def begin_response(connections: OpenConnections) -> ServerChannel:
    """Return a connection with a response that does not mark its end."""
    channel = open_channel(connections)
    channel.expect_response(REQUEST_ID, is_head_request=False)
    channel.data_received(UNFRAMED)
    return channel


def close_unread(channel: ServerChannel) -> None:
    """Close a connection as its server; the event loop has not seen it."""
    cast('Any', channel.transport).state = CLOSE_WAIT


def close(channel: ServerChannel) -> None:
    """Close a connection as its server."""
    close_unread(channel)
    if not channel.eof_received():
        channel.connection_lost(None)


def judge(
    connections: OpenConnections, channel: ServerChannel, ended_at: float = NOW
) -> EarlierConnections:
    """Return what the connections beside a response show."""
    beside = connections.beside(SERVER, channel, ended_at)
    return connections.judge(SERVER, beside, ended_at)


@pytest.fixture
def connections() -> OpenConnections:
    """The open connections of a router."""
    return OpenConnections()


@pytest.mark.parametrize('close_other', [close, close_unread])
def test_connection_closed_with_a_response_shows_the_end_of_its_server(
    connections: OpenConnections,
    close_other: Callable[[ServerChannel], None],
) -> None:
    """Guards against half a response whose server ended at that moment."""
    response = begin_response(connections)
    other = open_channel(connections)
    assert judge(connections, response) is EarlierConnections.OPEN
    close_other(other)
    close(response)
    assert judge(connections, response) is EarlierConnections.CLOSED


def test_connection_closed_long_before_shows_nothing(
    connections: OpenConnections,
) -> None:
    """Guards against responses that fail since an idle connection timed out."""
    response = begin_response(connections)
    close(open_channel(connections))
    close(response)
    ended_at = NOW + 1
    assert judge(connections, response, ended_at) is EarlierConnections.ABSENT


def test_connection_that_the_router_closes_shows_nothing(
    connections: OpenConnections,
) -> None:
    """Guards against responses that fail since the router closed another."""
    response = begin_response(connections)
    other = open_channel(connections)
    other.abort()
    other.connection_lost(None)
    close(response)
    assert judge(connections, response) is EarlierConnections.ABSENT


@pytest.mark.parametrize('close_other', [close, close_unread])
def test_responses_that_end_together_are_no_end_of_their_server(
    connections: OpenConnections,
    close_other: Callable[[ServerChannel], None],
) -> None:
    """Guards against failures where an engine ends several responses at once.

    Engines write the tokens of a batch together.
    """
    response = begin_response(connections)
    close_other(begin_response(connections))
    close(response)
    assert judge(connections, response) is EarlierConnections.ABSENT


@pytest.mark.parametrize('close_other', [close, close_unread])
def test_connection_that_was_never_kept_shows_nothing(
    connections: OpenConnections,
    close_other: Callable[[ServerChannel], None],
) -> None:
    """Guards against responses that fail as a full server drops another."""
    response = begin_response(connections)
    close_other(open_channel(connections, opened_at=NOW - 0.02))
    close(response)
    assert judge(connections, response) is EarlierConnections.ABSENT


def test_announced_close_is_no_end_of_its_server(
    connections: OpenConnections,
) -> None:
    """Guards against failures beside servers that close after each response."""
    response = begin_response(connections)
    other = open_channel(connections)
    other.expect_response(REQUEST_ID, is_head_request=False)
    other.data_received(ANNOUNCED)
    close(other)
    close(response)
    assert judge(connections, response) is EarlierConnections.ABSENT


def test_connection_to_a_successor_shows_nothing_of_its_predecessor(
    connections: OpenConnections,
) -> None:
    """Guards against half a response whose end is read late.

    While a slow caller holds up a response, its server can end and another
    process take its address.
    """
    response = begin_response(connections)
    close_unread(response)
    open_channel(connections, opened_at=NOW - 5)
    close(response)
    assert judge(connections, response) is EarlierConnections.ABSENT


def test_closes_are_forgotten(connections: OpenConnections) -> None:
    """Guards against memory that grows with each server of the past."""
    close(open_channel(connections))
    connections.forget(NOW + 1)
    assert not connections.closed_at
    assert not connections.opened_at
    assert not connections.replaced_at
