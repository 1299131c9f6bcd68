"""Requests that wait on this router, in fair order of the accounts."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId
from pollenloom.routing.account_usage import AccountUsage


@dataclass(eq=False, slots=True)
class WaitingTicket:
    """A ticket with the time since which it waits, monotonic seconds."""

    ticket: Ticket
    since: float


@dataclass(slots=True)
class LocalBacklog:
    """Queues by account; the account that got least lately is first.

    Every account has the same share.
    """

    usage: AccountUsage = field(default_factory=AccountUsage)
    queues: dict[AccountId, deque[WaitingTicket]] = field(default_factory=dict)

    def put(self, waiting: WaitingTicket) -> None:
        """Let a request wait."""
        queue = self.queues.setdefault(waiting.ticket.account, deque())
        if waiting.ticket.retry:
            queue.appendleft(waiting)
        else:
            queue.append(waiting)

    def remove(self, waiting: WaitingTicket) -> None:
        """Forget a request; it may have been removed before."""
        account = waiting.ticket.account
        queue = self.queues.get(account)
        if queue is None or waiting not in queue:
            return
        queue.remove(waiting)
        if not queue:
            self.queues.pop(account)

    def heads(self) -> Iterator[WaitingTicket]:
        """First request of each account, the next account first."""
        for account in sorted(self.queues, key=self.usage.total):
            yield self.queues[account][0]

    def least_waiting(self) -> float | None:
        """Usage of the least served account that waits; None if none does."""
        return min(map(self.usage.total, self.queues), default=None)

    def cost_ahead(self, ticket: Ticket) -> float:
        """Cost that goes before a new request of the account.

        Accounts take turns, so of another account no more goes before it
        than of its own, this request included.
        """
        own = self.queue_cost(ticket.account)
        turn = own + ticket.cost_hint
        return own + sum(
            min(turn, self.queue_cost(account))
            for account in self.queues
            if account != ticket.account
        )

    def queue_cost(self, account: AccountId) -> float:
        """Cost of what waits of one account."""
        queue = self.queues.get(account, ())
        return sum(waiting.ticket.cost_hint for waiting in queue)
