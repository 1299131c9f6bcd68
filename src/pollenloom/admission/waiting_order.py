"""Which of the waiting requests is sent next when room comes.

Answers loads that exceed the room for some seconds: waves and jumps in which
part of the requests can only be served late, or not at all.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from types import MappingProxyType
from typing import Final

from pollenloom.admission.caller_attempt import CallerAttempt
from pollenloom.admission.waiting_ticket import WaitingTicket
from pollenloom.core.ids import AccountId

Queue = deque[WaitingTicket]
Queues = Mapping[AccountId, Queue]

# Order of requests that can only be late. A caller that returned as it was told
# has no further attempt, and loses its request if it is refused again; a first
# attempt can return. Repeats before that time are last, or impatient callers
# would take the room of the others.
LATE_RANKS: Final[Mapping[CallerAttempt, int]] = MappingProxyType(
    {
        CallerAttempt.RETURNED: 0,
        CallerAttempt.FIRST: 1,
        CallerAttempt.EARLY: 2,
    }
)


class WaitingOrder(ABC):
    """Order of the requests of one account; accounts go by their usage."""

    @abstractmethod
    def insert(self, queue: Queue, waiting: WaitingTicket) -> None:
        """Add a request to the queue of its account."""

    @abstractmethod
    def next_first(
        self, queues: Queues, accounts: Iterable[AccountId]
    ) -> Iterator[Iterable[WaitingTicket]]:
        """Yield the queues in which to look for the next request, in order.

        Args:
            queues: Waiting requests, by account.
            accounts: The accounts, that with the least usage first.
        """

    @abstractmethod
    def before(
        self, queue: Iterable[WaitingTicket], waiting: WaitingTicket
    ) -> Iterator[WaitingTicket]:
        """Yield the requests of a queue that go before one of its account."""


class ArrivalOrder(WaitingOrder):
    """Requests in order of arrival; those that were sent before go first."""

    def insert(self, queue: Queue, waiting: WaitingTicket) -> None:
        """Add a request; see `WaitingOrder`."""
        if waiting.ticket.retry:
            queue.appendleft(waiting)
        else:
            queue.append(waiting)

    def next_first(
        self, queues: Queues, accounts: Iterable[AccountId]
    ) -> Iterator[Iterable[WaitingTicket]]:
        """Yield the queue of each account; see `WaitingOrder`."""
        for account in accounts:
            yield tuple(queues[account])

    def before(
        self, queue: Iterable[WaitingTicket], waiting: WaitingTicket
    ) -> Iterator[WaitingTicket]:
        """Yield earlier requests; see `WaitingOrder`."""
        for earlier in queue:
            if earlier is waiting:
                return
            yield earlier


class ObjectiveOrder(ArrivalOrder):
    """Requests that can be in time before all that can only be late.

    Among those of an account that can be in time, the one that has to be sent
    first is first. Among late ones it goes by what a refusal takes from the
    caller, see `LATE_RANKS`.
    """

    def insert(self, queue: Queue, waiting: WaitingTicket) -> None:
        """Add a request; see `WaitingOrder`."""
        key = urgency(waiting)
        index = len(queue)
        while index and urgency(queue[index - 1]) > key:
            index -= 1
        queue.insert(index, waiting)

    def next_first(
        self, queues: Queues, accounts: Iterable[AccountId]
    ) -> Iterator[Iterable[WaitingTicket]]:
        """Yield what can be in time of all accounts, then what is late."""
        listed = [tuple(queues[account]) for account in accounts]
        split = [
            sum(not waiting.is_behind for waiting in queue) for queue in listed
        ]
        in_time = (
            queue[:size] for queue, size in zip(listed, split, strict=True)
        )
        late = (queue[size:] for queue, size in zip(listed, split, strict=True))
        return chain(filter(None, in_time), filter(None, late))


def urgency(waiting: WaitingTicket) -> tuple[bool, bool, int, float]:
    """Sort key of a request among those of its account, the first is least."""
    rank = LATE_RANKS[waiting.attempt] if waiting.is_behind else 0
    return (
        waiting.is_behind,
        not waiting.ticket.retry,
        rank,
        waiting.since if waiting.is_behind else waiting.start_by,
    )
