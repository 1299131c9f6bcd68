"""Admission to the servers of one service, decided on this router."""

from collections import deque
from collections.abc import Iterator
from typing import Final

from pollenloom.admission.local_backlog import LocalBacklog, WaitingTicket
from pollenloom.admission.local_servers import LocalServers
from pollenloom.admission.placement import Placement
from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.server_candidates import ServerCandidates
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId, VmId
from pollenloom.routing.send_window import PREFILL_RATE, QUEUE_SHARE
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.service_load import ServiceLoad

# Time over which the rate of sending is measured.
RATE_SECONDS: Final = 2.0
# For routes without an objective.
LONGEST_WAIT_SECONDS: Final = 2.0
# Part of the objective that is left for the network and for late reports.
SPARE_SHARE: Final = 0.1
# Prompts that take longer than this part of the objective to read are sent as
# readily as those that take this long: sizes are served alike.
LONGEST_READ_SHARE: Final = 0.4
# An account may be this far ahead of one that waits at another router: reports
# are late, and requests differ in size.
LEAD_SHARE: Final = 0.2
LEAD_COST: Final = 20_000.0


class LocalPool:
    """Backlog and servers of one service."""

    def __init__(self) -> None:
        self.backlog = LocalBacklog()
        self.servers = LocalServers()
        self.sent: deque[tuple[float, float]] = deque()
        self.sent_cost: float = 0
        self.tightest_objective = float('inf')

    def put(self, waiting: WaitingTicket) -> None:
        """Let a request wait."""
        objective = waiting.ticket.objective
        if objective:
            self.tightest_objective = min(self.tightest_objective, objective)
        self.servers.expect(waiting.ticket)
        self.backlog.put(waiting)

    def send(
        self,
        servers: list[KnownServer],
        context: SelectionContext,
    ) -> Iterator[tuple[WaitingTicket, Placement]]:
        """Take the requests that may be sent, each with its server."""
        if not self.backlog.queues:
            return
        usage = self.backlog.usage
        usage.decay(context.now)
        usage.elsewhere = context.elsewhere.usage
        candidates = self.servers.survey(servers, context)
        while self.backlog.queues:
            found = self.next_placement(candidates)
            if found is None:
                return
            self.sent_to(*found, context)
            candidates.look_again(found[1].known)
            yield found

    def next_placement(
        self,
        candidates: ServerCandidates,
    ) -> tuple[WaitingTicket, Placement] | None:
        """Return the next request that may be sent, with its server."""
        for waiting in self.backlog.heads():
            if self.is_ahead(waiting.ticket.account, candidates.context):
                return None
            placement = self.servers.place(waiting, candidates)
            if placement is not None:
                return waiting, placement
        return None

    def sent_to(
        self,
        waiting: WaitingTicket,
        placement: Placement,
        context: SelectionContext,
    ) -> None:
        """Count a request that is sent."""
        now = context.now
        self.backlog.remove(waiting)
        self.backlog.usage.charge(
            waiting.ticket.account,
            waiting.ticket.cost_hint,
            now,
        )
        load = self.servers.load(placement.known.entry.server, now)
        load.in_flight += 1
        load.window.sent(placement.cost)
        if context.cold_turn and placement.known.is_cold(now):
            load.limiter.take(context.cold_turn)
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

    def longest_wait(self, ticket: Ticket) -> float:
        """Seconds that a request may wait here and still be prompt."""
        objective = ticket.objective or LONGEST_WAIT_SECONDS
        read = min(
            objective * LONGEST_READ_SHARE,
            ticket.own_tokens / PREFILL_RATE,
        )
        queue = min(objective, self.tightest_objective) * QUEUE_SHARE
        return max(0, objective * (1 - SPARE_SHARE) - queue - read)

    def is_ahead(self, account: AccountId, context: SelectionContext) -> bool:
        """Whether an account waits for others that got less elsewhere."""
        least = context.elsewhere.least_waiting
        if least is None:
            return False
        allowed = least * (1 + LEAD_SHARE) + LEAD_COST
        return self.backlog.usage.total(account) > allowed

    def load(self, router: VmId, now: float) -> ServiceLoad:
        """Return what other routers are told of this pool, by its router."""
        least = self.backlog.least_waiting()
        return ServiceLoad(
            unread={
                server: round(load.window.outstanding)
                for server, load in self.servers.loads.items()
                if load.window.outstanding
            },
            running={
                server: load.in_flight
                for server, load in self.servers.loads.items()
                if load.in_flight
            },
            usage=self.backlog.usage.told(now),
            waiting={} if least is None else {router: round(least)},
        )
