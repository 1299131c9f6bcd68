"""Admission to the servers of one service, decided on this router."""

from collections import deque
from typing import Final

from pollenloom.admission.local_backlog import LocalBacklog, WaitingTicket
from pollenloom.admission.local_servers import (
    Conditions,
    LocalServers,
    Placement,
)
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import PoolId, ServerId
from pollenloom.routing.server_directory import KnownServer

# Time over which the rate of sending is measured.
RATE_SECONDS: Final = 2.0
# A request is refused at once if it would wait longer than this part of its
# objective: the caller can come back while it still has time.
HOPE_SHARE: Final = 0.6


class LocalPool:
    """Backlog and servers of one service."""

    def __init__(self, pool: PoolId) -> None:
        self.backlog = LocalBacklog(pool)
        self.servers = LocalServers()
        self.sent: deque[tuple[float, float]] = deque()
        self.sent_cost: float = 0

    def next_placement(
        self,
        servers: list[KnownServer],
        conditions: Conditions,
    ) -> tuple[WaitingTicket, Placement] | None:
        """Return the next request that may be sent, with its server."""
        for waiting in self.backlog.heads():
            placement = self.servers.place(
                waiting.ticket,
                servers,
                conditions,
            )
            if placement is not None:
                return waiting, placement
        return None

    def sent_to(
        self,
        waiting: WaitingTicket,
        placement: Placement,
        now: float,
    ) -> None:
        """Count a request that is sent."""
        self.backlog.remove(waiting)
        self.backlog.charge(waiting.ticket)
        load = self.servers.load(placement.known.entry.server, now)
        load.in_flight += 1
        load.window.sent(placement.cost)
        if placement.known.is_cold(now):
            load.gate.take()
        self.sent.append((now, waiting.ticket.cost_hint))
        self.sent_cost += waiting.ticket.cost_hint

    def expected_wait(self, ticket: Ticket, now: float) -> float:
        """Seconds until a request that comes now would be sent."""
        while self.sent and self.sent[0][0] < now - RATE_SECONDS:
            self.sent_cost -= self.sent.popleft()[1]
        if not self.sent:
            return 0
        rate = max(self.sent_cost, 1) / RATE_SECONDS
        return self.backlog.cost_ahead(ticket) / rate

    def is_hopeless(self, ticket: Ticket, now: float) -> bool:
        """Whether a request that must wait would be late anyway."""
        if not ticket.objective:
            return False
        limit = ticket.objective * HOPE_SHARE
        return self.expected_wait(ticket, now) > limit

    def unread(self) -> dict[ServerId, float]:
        """Prompt tokens that this router has at the servers."""
        return {
            server: load.window.outstanding
            for server, load in self.servers.loads.items()
            if load.window.outstanding
        }
