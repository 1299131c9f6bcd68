"""Requests that wait on this router, in fair order of their accounts."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId
from pollenloom.routing.account_usage import AccountUsage
from pollenloom.routing.fair_level import fair_level


@dataclass(eq=False, slots=True)
class WaitingTicket:
    """A ticket with the time since which it waits, monotonic seconds."""

    ticket: Ticket
    since: float

    def is_late(self, now: float) -> bool:
        """Whether it has waited longer than its objective, if it has one."""
        objective = self.ticket.objective
        return objective > 0 and now - self.since > objective


@dataclass(slots=True)
class LocalBacklog:
    """Queues by account; the account with the least recent usage is first.

    Every account has the same share.

    Attributes:
        usage: Cost of the requests that were sent.
        refused: Cost of the requests that were refused.
        queues: Waiting requests, by account.
    """

    usage: AccountUsage = field(default_factory=AccountUsage)
    refused: AccountUsage = field(default_factory=AccountUsage)
    queues: dict[AccountId, deque[WaitingTicket]] = field(default_factory=dict)

    def put(self, waiting: WaitingTicket) -> None:
        """Add a request to its account's queue; retries go first."""
        queue = self.queues.setdefault(waiting.ticket.account, deque())
        if waiting.ticket.retry:
            queue.appendleft(waiting)
        else:
            queue.append(waiting)

    def remove(self, waiting: WaitingTicket) -> None:
        """Remove a request, if it is still queued."""
        account = waiting.ticket.account
        queue = self.queues.get(account)
        if queue is None or waiting not in queue:
            return
        queue.remove(waiting)
        if not queue:
            self.queues.pop(account)

    def heads(self) -> Iterator[WaitingTicket]:
        """Yield the first request of each account, least usage first."""
        for account in sorted(self.queues, key=self.usage.total):
            yield self.queues[account][0]

    def fair_level(self, now: float) -> float | None:
        """Usage within an account's share; None if nothing was refused."""
        return fair_level(self.usage.totals(now), self.refused.totals(now))

    def cost_ahead(self, waiting: WaitingTicket) -> float:
        """Cost of the queued requests that go before one of this backlog.

        These are the requests before it in its own queue, and those of each
        other account until its usage exceeds that of this account.
        """
        account = waiting.ticket.account
        own_cost: float = 0
        for earlier in self.queues.get(account, ()):
            if earlier is waiting:
                break
            own_cost += earlier.ticket.cost_hint
        usage = self.usage.total(account) + own_cost
        return own_cost + sum(
            min(self.queue_cost(other), usage - self.usage.total(other))
            for other in self.queues
            if other != account and self.usage.total(other) < usage
        )

    def queue_cost(self, account: AccountId) -> float:
        """Total cost hint of the queued requests of an account."""
        queue = self.queues.get(account, ())
        return sum(waiting.ticket.cost_hint for waiting in queue)
