"""Connections to backend servers that are open, and those they closed."""

from collections import defaultdict
from typing import Final

from pollenloom.core.ids import ServerId
from pollenloom.gateway.connection_state import is_peer_closed
from pollenloom.gateway.response_end import EarlierConnections
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_event import CloseCause

# The end of a process closes its connections together; the kernels of both
# sides and the event loop need a moment to pass that on.
CLOSED_TOGETHER_SECONDS: Final = 0.1
# A server with a long queue drops a new connection sooner.
KEPT_SECONDS: Final = 0.1


class OpenConnections:
    """Knows the open connections of each server.

    Times are monotonic seconds.

    Attributes:
        opened_at: When the open connections of each server were opened.
        replaced_at: For a response whose server had closed its connection
            unread by the router, when the next connection was opened.
        closed_at: When each server last closed a connection that it had kept,
            for another reason than the end of a response.
    """

    def __init__(self) -> None:
        self.opened_at: dict[ServerId, dict[ServerChannel, float]] = (
            defaultdict(dict)
        )
        self.replaced_at: dict[ServerChannel, float] = {}
        self.closed_at: dict[ServerId, float] = {}

    def add(self, server: ServerId, channel: ServerChannel, now: float) -> None:
        """Record an open connection.

        It says nothing about responses that have ended before, of which the
        router may not have read the end.
        """
        if not channel.is_open:
            return
        for other in self.opened_at[server]:
            if other.may_end_response() and is_peer_closed(other.transport):
                self.replaced_at.setdefault(other, now)
        self.opened_at[server][channel] = now

    def closed(
        self, server: ServerId, channel: ServerChannel, now: float
    ) -> None:
        """Record that a connection was closed, by either side."""
        self.replaced_at.pop(channel, None)
        opened_at = self.opened_at[server].pop(channel, now)
        if not self.opened_at[server]:
            self.opened_at.pop(server)
        is_kept = now - opened_at >= KEPT_SECONDS
        if is_kept and channel.history.close_cause is CloseCause.SERVER:
            self.closed_at[server] = now

    def beside(
        self, server: ServerId, channel: ServerChannel, now: float
    ) -> tuple[ServerChannel, ...]:
        """Return the connections that were opened before another was closed."""
        replaced_at = self.replaced_at.get(channel, now)
        return tuple(
            other
            for other, opened_at in self.opened_at.get(server, {}).items()
            if other is not channel and opened_at < replaced_at
        )

    def judge(
        self,
        server: ServerId,
        beside: tuple[ServerChannel, ...],
        ended_at: float,
    ) -> EarlierConnections:
        """Return what became of the connections beside a response.

        Args:
            server: Server that sent the response.
            beside: Its other connections when the response ended.
            ended_at: When the response ended, monotonic seconds.
        """
        if any(map(is_kept, beside)):
            return EarlierConnections.OPEN
        closed_at = self.closed_at.get(server, float('-inf'))
        if closed_at >= ended_at - CLOSED_TOGETHER_SECONDS:
            return EarlierConnections.CLOSED
        opened_at = self.opened_at.get(server, {})
        is_closed = any(
            is_closed_unread(channel)
            and opened_at.get(channel, ended_at) <= ended_at - KEPT_SECONDS
            for channel in beside
        )
        if is_closed:
            return EarlierConnections.CLOSED
        return EarlierConnections.ABSENT

    def forget(self, now: float) -> None:
        """Forget closes that say nothing about responses that end now."""
        earliest = now - 2 * CLOSED_TOGETHER_SECONDS
        self.closed_at = {
            server: closed_at
            for server, closed_at in self.closed_at.items()
            if closed_at > earliest
        }


def is_kept(channel: ServerChannel) -> bool:
    """Whether a server has kept a connection open."""
    return channel.is_open and not is_peer_closed(channel.transport)


def is_closed_unread(channel: ServerChannel) -> bool:
    """Whether a server has closed a connection that has no response to end.

    The router has not read the end of the connection yet.
    """
    return (
        channel.history.close_cause is CloseCause.NONE
        and not channel.may_end_response()
        and is_peer_closed(channel.transport)
    )
