"""Connections to backend servers that are open, and those they closed."""

import itertools
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


class OpenConnections:
    """Knows the open connections of each server.

    Attributes:
        channels: Open connections of each server, with their numbers in the
            order in which they were opened.
        ended_before: For a response whose server had closed its connection
            unread by the router, the number of the next connection.
        closed_at: When each server last closed a connection for another reason
            than the end of a response, monotonic seconds.
    """

    def __init__(self) -> None:
        self.numbers = itertools.count()
        self.channels: dict[ServerId, dict[ServerChannel, int]] = defaultdict(
            dict
        )
        self.ended_before: dict[ServerChannel, int] = {}
        self.closed_at: dict[ServerId, float] = {}

    def add(self, server: ServerId, channel: ServerChannel) -> None:
        """Record an open connection.

        It says nothing about responses that have ended before, of which the
        router may not have read the end.
        """
        if not channel.is_open:
            return
        number = next(self.numbers)
        for other in self.channels[server]:
            if other.may_end_response() and is_peer_closed(other.transport):
                self.ended_before.setdefault(other, number)
        self.channels[server][channel] = number

    def closed(
        self, server: ServerId, channel: ServerChannel, now: float
    ) -> None:
        """Record that a connection was closed, by either side."""
        self.ended_before.pop(channel, None)
        self.channels[server].pop(channel, None)
        if not self.channels[server]:
            self.channels.pop(server)
        if channel.history.close_cause is CloseCause.SERVER:
            self.closed_at[server] = now

    def beside(
        self, server: ServerId, channel: ServerChannel
    ) -> tuple[ServerChannel, ...]:
        """Return the connections of a server that were open beside another."""
        last = self.ended_before.get(channel, float('inf'))
        return tuple(
            other
            for other, number in self.channels.get(server, {}).items()
            if other is not channel and number < last
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
        is_together = closed_at >= ended_at - CLOSED_TOGETHER_SECONDS
        if is_together or any(map(is_closed_unread, beside)):
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
