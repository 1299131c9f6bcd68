"""Requests that a connection to a backend server has carried."""

import asyncio
from typing import TYPE_CHECKING

from pollenloom.gateway.server_event import CloseCause, UnrequestedBytes

if TYPE_CHECKING:
    from collections.abc import Callable


class ConnectionHistory:
    """Tells responses to the request in progress from repeated ones.

    A server may write an earlier response once more on a kept connection.

    Attributes:
        request_id: Id of the request in progress; None before the first one.
        is_reused: Whether the connection carried a request before it.
        refused_ids: Ids of the requests that the server refused.
        on_unrequested: Called when bytes arrive that answer no request in
            progress.
        on_closed: Called once the connection is closed.
        closed: Set once the connection is closed.
        close_cause: Why the connection was closed.
    """

    def __init__(self) -> None:
        self.request_id: bytes | None = None
        self.is_reused = False
        self.refused_ids: set[bytes] = set()
        self.on_unrequested: Callable[[UnrequestedBytes], object] = ignore
        self.on_closed: Callable[[], object] = ignore_close
        self.closed = asyncio.Event()
        self.close_cause = CloseCause.NONE

    def begin(self, request_id: bytes) -> None:
        """Record that a request is sent."""
        self.is_reused = self.request_id is not None
        self.request_id = request_id

    def mark_refused(self) -> None:
        """Record that the server has refused the request in progress."""
        if self.request_id is not None:
            self.refused_ids.add(self.request_id)

    def note_close(self, cause: CloseCause) -> None:
        """Keep the first cause for which the connection is closed."""
        if self.close_cause is CloseCause.NONE:
            self.close_cause = cause

    def connection_lost(self) -> None:
        """Record that the connection is closed, by the server if not known."""
        self.note_close(CloseCause.SERVER)
        self.closed.set()
        self.on_closed()

    def is_answer(self, response_id: bytes | None) -> bool:
        """Whether a response is proved to answer the request in progress.

        On a kept connection it must have the id of a request that was not
        refused before.
        """
        if response_id is None:
            return not self.is_reused
        return response_id not in self.refused_ids


def ignore(_where: UnrequestedBytes) -> None:
    """Default for `on_unrequested`."""


def ignore_close() -> None:
    """Default for `on_closed`."""
