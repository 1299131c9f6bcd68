"""Requests that wait on this router, in fair order of their accounts."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from pollenloom.admission.share_class import ShareClass
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId
from pollenloom.routing.account_usage import AccountUsage

# A prompt whose shared prefix has at least `LONG_PREFIX_TOKENS` waits only for
# its preferred servers, which probably have the prefix cached, during
# `STICKY_WAIT_SHARE` of its objective.
LONG_PREFIX_TOKENS: Final = 1500
STICKY_WAIT_SHARE: Final = 0.7


@dataclass(eq=False, slots=True)
class WaitingTicket:
    """A ticket that waits for room.

    Attributes:
        ticket: The ticket.
        since: When it came in, monotonic seconds.
        share_class: Class by the share of its account.
    """

    ticket: Ticket
    since: float
    share_class: ShareClass = ShareClass.WITHIN

    def is_sticky(self, now: float) -> bool:
        """Whether it still waits for its preferred servers only."""
        is_long = self.ticket.shared_tokens >= LONG_PREFIX_TOKENS
        return is_long and (
            now - self.since < self.ticket.objective * STICKY_WAIT_SHARE
        )

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

    def heads(self, now: float) -> Iterator[WaitingTicket]:
        """Yield the requests that may be sent next, least usage first.

        These are the first request of each account that any server may get,
        and those before it, which wait for their preferred servers only and
        must not hold up the others.
        """
        for account in sorted(self.queues, key=self.usage.total):
            for waiting in tuple(self.queues[account]):
                yield waiting
                if not waiting.is_sticky(now):
                    break

    def cost_ahead(self, waiting: WaitingTicket, now: float) -> float:
        """Cost of the queued requests that go before one of this backlog.

        These are the requests before it in its own queue, except for those
        that do not hold it up, and those of each other account until its usage
        exceeds that of this account.
        """
        account = waiting.ticket.account
        own_cost: float = 0
        for earlier in self.queues.get(account, ()):
            if earlier is waiting:
                break
            if not earlier.is_sticky(now):
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
