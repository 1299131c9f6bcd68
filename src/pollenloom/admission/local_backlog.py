"""Requests that wait on this router, in fair order of the accounts."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId, PoolId


@dataclass(eq=False, slots=True)
class WaitingTicket:
    """A ticket with the time since which it waits, monotonic seconds."""

    ticket: Ticket
    since: float


@dataclass(slots=True)
class LocalBacklog:
    """Queues by account; the account with the least service is first.

    Every account has the same share. The cost is charged when a request is
    sent, by the router's own count.
    """

    pool: PoolId
    totals: ServiceTotals = field(default_factory=lambda: ServiceTotals({}))
    queues: dict[AccountId, deque[WaitingTicket]] = field(default_factory=dict)

    @property
    def waiting_cost(self) -> float:
        """Cost of all that waits."""
        return sum(
            waiting.ticket.cost_hint
            for queue in self.queues.values()
            for waiting in queue
        )

    def put(self, waiting: WaitingTicket) -> None:
        """Let a request wait."""
        account = waiting.ticket.account
        self.totals.shares.setdefault(account, 1)
        if account not in self.queues:
            self.queues[account] = deque()
            self.totals.enter(account)
        if waiting.ticket.retry:
            self.queues[account].appendleft(waiting)
        else:
            self.queues[account].append(waiting)

    def remove(self, waiting: WaitingTicket) -> None:
        """Forget a request; it may have been removed before."""
        account = waiting.ticket.account
        queue = self.queues.get(account)
        if queue is None or waiting not in queue:
            return
        queue.remove(waiting)
        if not queue:
            self.queues.pop(account)
            self.totals.leave(account)

    def heads(self) -> Iterator[WaitingTicket]:
        """First request of each account, the next account first."""
        for account in sorted(self.queues, key=self.totals.time_of):
            yield self.queues[account][0]

    def charge(self, ticket: Ticket) -> None:
        """Count a request that is sent."""
        self.totals.charge(self.pool, ticket.account, ticket.cost_hint)

    def cost_ahead(self, ticket: Ticket) -> float:
        """Cost that goes before a new request of the account.

        Accounts take turns, so another account goes before it with at most
        as much as waits of this account.
        """
        own = self.queue_cost(ticket.account) + ticket.cost_hint
        return own + sum(
            min(own, self.queue_cost(account))
            for account in self.queues
            if account != ticket.account
        )

    def queue_cost(self, account: AccountId) -> float:
        """Cost of what waits of one account."""
        queue = self.queues.get(account, ())
        return sum(waiting.ticket.cost_hint for waiting in queue)
