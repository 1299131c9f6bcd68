"""Acceptance of connections by a busy or exhausted router."""

import asyncio
import errno
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest

from pollenloom.transport.connection_acceptor import ConnectionAcceptor

CALLERS = 100
BACKLOG = 256
WAIT_SECONDS = 5
Connect = Callable[[], socket.socket]


class ExhaustedListener(socket.socket):
    """Listening socket that has no descriptor left for one connection.

    Attributes:
        failures: How often `accept` still fails.
    """

    failures = 1

    def accept(self) -> tuple[socket.socket, object]:
        """Fail, or accept a connection."""
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, 'Too many open files')
        return super().accept()


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    """Closes the sockets of a test."""
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def listener(stack: ExitStack) -> ExhaustedListener:
    """A listening socket whose first `accept` fails."""
    listener = stack.enter_context(ExhaustedListener())
    listener.bind(('127.0.0.1', 0))
    listener.listen(BACKLOG)
    return listener


@pytest.fixture
def accepted() -> Iterator[list[socket.socket]]:
    """Accepted sockets."""
    accepted: list[socket.socket] = []
    yield accepted
    for connection in accepted:
        connection.close()


@pytest.fixture
def connect(stack: ExitStack, listener: ExhaustedListener) -> Connect:
    """Opens a connection to the listening socket."""
    address = listener.getsockname()
    return lambda: stack.enter_context(socket.create_connection(address))


async def wait_for(accepted: list[socket.socket], count: int) -> None:
    """Wait until so many connections are accepted."""
    async with asyncio.timeout(WAIT_SECONDS):
        while len(accepted) < count:
            await asyncio.sleep(0.01)


async def test_waiting_connections_are_accepted_at_once(
    listener: ExhaustedListener,
    accepted: list[socket.socket],
    connect: Connect,
) -> None:
    """Guards against a queue that grows while the event loop is busy.

    Accepting one connection in an iteration of the loop made callers of the
    busiest router wait for seconds, up to a full queue, while the loop itself
    was hardly late and the router reported that it was ready.
    """
    listener.failures = 0
    acceptor = ConnectionAcceptor(listener, accepted.append)
    acceptor.start()
    for _ in range(CALLERS):
        connect()
    await wait_for(accepted, 1)
    assert len(accepted) == CALLERS
    assert acceptor.take_counts() == (CALLERS, CALLERS)
    assert acceptor.take_counts() == (0, 0)
    assert not any(connection.gettimeout() for connection in accepted)
    acceptor.close()


async def test_accepting_continues_after_lack_of_descriptors(
    listener: ExhaustedListener,
    accepted: list[socket.socket],
    connect: Connect,
) -> None:
    """Guards against a router that takes no connection ever after."""
    acceptor = ConnectionAcceptor(listener, accepted.append)
    acceptor.start()
    connect()
    await wait_for(accepted, 1)
    assert not listener.failures
    acceptor.close()


async def test_closed_listener_is_not_accepted_from_again(
    listener: ExhaustedListener,
    accepted: list[socket.socket],
    connect: Connect,
) -> None:
    """Guards against a retry that uses a listener after its close."""
    acceptor = ConnectionAcceptor(listener, accepted.append)
    acceptor.start()
    connect()
    async with asyncio.timeout(WAIT_SECONDS):
        while listener.failures:
            await asyncio.sleep(0)
    acceptor.close()
    await asyncio.sleep(0.2)
    assert not accepted
