"""Requests that wait on this router, in fair order of their accounts."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenloom.admission.waiting_order import ArrivalOrder, WaitingOrder
from pollenloom.admission.waiting_ticket import WaitingTicket
from pollenloom.core.ids import AccountId
from pollenloom.routing.account_usage import AccountUsage


@dataclass(slots=True)
class LocalBacklog:
    """Queues by account; the account with the least recent usage is first.

    Every account has the same share.

    Attributes:
        usage: Cost of the requests that were sent.
        refused: Cost of the requests that were refused.
        queues: Waiting requests, by account.
        order: Order of the requests of an account.
    """

    usage: AccountUsage = field(default_factory=AccountUsage)
    refused: AccountUsage = field(default_factory=AccountUsage)
    queues: dict[AccountId, deque[WaitingTicket]] = field(default_factory=dict)
    order: WaitingOrder = field(default_factory=ArrivalOrder)

    def put(self, waiting: WaitingTicket) -> None:
        """Add a request to its account's queue; retries go first."""
        queue = self.queues.setdefault(waiting.ticket.account, deque())
        self.order.insert(queue, waiting)

    def remove(self, waiting: WaitingTicket) -> None:
        """Remove a request, if it is still queued."""
        account = waiting.ticket.account
        queue = self.queues.get(account)
        if queue is None or waiting not in queue:
            return
        queue.remove(waiting)
        if not queue:
            self.queues.pop(account)

    def heads(self, now: float) -> Iterator[WaitingTicket]:
        """Yield the requests that may be sent next, least usage first.

        These are the first request of each account that any server may get,
        and those before it, which wait for their preferred servers only and
        must not hold up the others.
        """
        accounts = sorted(self.queues, key=self.usage.total)
        for queue in self.order.next_first(self.queues, accounts):
            for waiting in queue:
                yield waiting
                if not waiting.is_sticky(now):
                    break

    def cost_ahead(self, waiting: WaitingTicket, now: float) -> float:
        """Cost of the queued requests that go before one of this backlog.

        These are the requests before it in its own queue, except for those
        that do not hold it up, and those of each other account until its usage
        exceeds that of this account. Of requests that can be in time and those
        that can't, only its own kind counts.
        """
        account = waiting.ticket.account
        own_cost: float = 0
        queue = self.queues.get(account, ())
        for earlier in self.order.before(queue, waiting):
            is_counted = earlier.is_behind is waiting.is_behind
            if is_counted and not earlier.is_sticky(now):
                own_cost += earlier.ticket.cost_hint
        usage = self.usage.total(account) + own_cost
        return own_cost + sum(
            min(
                self.queue_cost(other, is_behind=waiting.is_behind),
                usage - self.usage.total(other),
            )
            for other in self.queues
            if other != account and self.usage.total(other) < usage
        )

    def queue_cost(self, account: AccountId, *, is_behind: bool) -> float:
        """Total cost hint of queued requests of an account.

        Args:
            account: The account.
            is_behind: Whether to count those that can only be late, or those
                that can be in time.
        """
        queue = self.queues.get(account, ())
        return sum(
            waiting.ticket.cost_hint
            for waiting in queue
            if waiting.is_behind is is_behind
        )
