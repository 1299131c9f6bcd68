"""Acceptance of connections on a listening socket."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from absl import logging

# Connections accepted in one iteration of the event loop. Others may have to be
# closed for them, which takes effect in the next iteration.
MAX_BATCH: Final = 128
# Pause after the system refused a connection, as for lack of descriptors.
RETRY_SECONDS: Final = 0.1


class ConnectionAcceptor:
    """Accepts connections that wait, each time that the event loop polls.

    The servers of libuv 1.45 and later accept one connection in an iteration
    of the event loop. In a busy loop connections then wait in the queue of the
    system, where the delay of the loop does not show them, until it is full.

    Attributes:
        listener: Non-blocking listening socket, closed by `close`.
        on_connection: Called with each accepted, non-blocking socket.
        accepted: Connections accepted since the counts were last taken.
        largest_batch: Most of them that were accepted in one iteration.
    """

    def __init__(
        self,
        listener: socket.socket,
        on_connection: Callable[[socket.socket], object],
    ) -> None:
        self.listener = listener
        self.on_connection = on_connection
        self.accepted = 0
        self.largest_batch = 0
        self.retry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Accept connections from now on."""
        self.listener.setblocking(False)
        asyncio.get_running_loop().add_reader(
            self.listener, self.accept_waiting
        )

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        if self.retry is not None:
            self.retry.cancel()
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()

    def accept_waiting(self) -> None:
        """Accept until no connection waits, or many were accepted."""
        batch = 0
        while batch < MAX_BATCH and self.accept_next():
            batch += 1
        self.accepted += batch
        self.largest_batch = max(self.largest_batch, batch)

    def take_counts(self) -> tuple[int, int]:
        """Return `accepted` and `largest_batch`, and count from 0 again."""
        counts = (self.accepted, self.largest_batch)
        self.accepted = 0
        self.largest_batch = 0
        return counts

    def accept_next(self) -> bool:
        """Accept one connection; return whether there was one."""
        try:
            connection, _ = self.listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return False
        except OSError as error:
            self.pause(error)
            return False
        connection.setblocking(False)
        self.on_connection(connection)
        return True

    def pause(self, error: OSError) -> None:
        """Retry later, since the listener stays readable."""
        logging.warning('cannot accept connections: %s', error)
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener)
        self.retry = loop.call_later(RETRY_SECONDS, self.start)
