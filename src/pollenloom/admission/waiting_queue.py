"""Queue of the requests of one account for one service."""

from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from pollenloom.admission.grant import Grant
from pollenloom.admission.service_rate import ServiceRate
from pollenloom.admission.ticket import Ticket
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import PoolId, ServerId


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request in a queue.

    Attributes:
        ticket: The request.
        since: When it started to wait, monotonic seconds.
        home: Pool that it is announced to first.
        announced_to_all: Whether it is announced to all pools of the service.
        grant: Grant bound to it; None while it waits for one.
    """

    ticket: Ticket
    since: float
    home: PoolId
    announced_to_all: bool = False
    grant: Grant | None = None

    def accepts(self, server: ServerId) -> bool:
        """Whether it may be sent to a server."""
        return server not in self.ticket.excluded

    def is_announced_to(self, pool: PoolId) -> bool:
        """Whether the owner of a pool is notified of it."""
        return self.announced_to_all or self.home == pool


class WaitingQueue:
    """Bounded queue of requests; retries first, then in order of arrival."""

    def __init__(self) -> None:
        self.requests: list[WaitingRequest] = []
        self.rate = ServiceRate()

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self.requests)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Waiting requests, the next one first."""
        return iter(self.requests)

    def offer(
        self,
        waiting: WaitingRequest,
        limit: int,
        now: float,
    ) -> Result[WaitingRequest, Failure]:
        """Add a request, or reject it at once.

        A retry is not rejected by a full queue, since the request had a
        position in the queue before.

        Errors:
            QUEUE_FULL, DEADLINE_UNREACHABLE
        """
        ticket = waiting.ticket
        if len(self.requests) >= limit and not ticket.retry:
            return Error(self.queue_full(limit, now))
        excess = self.excess_wait_seconds(ticket, now)
        if excess > 0:
            detail = f'{len(self.requests)} requests are ahead in the queue'
            kind = ErrorKind.DEADLINE_UNREACHABLE
            return Error(Failure(kind, detail, excess))
        self.add(waiting, now)
        return Ok(waiting)

    def add(self, waiting: WaitingRequest, now: float) -> None:
        """Add a request without checking the limit and the deadline."""
        self.rate.mark_busy(now)
        if waiting.ticket.retry:
            self.requests.insert(self.retries(), waiting)
        else:
            self.requests.append(waiting)

    def requeue(self, waiting: WaitingRequest, now: float) -> None:
        """Return a request to the front, since its grant could not be used."""
        self.rate.mark_busy(now)
        self.requests.insert(0, waiting)

    def take(self, server: ServerId, now: float) -> WaitingRequest | None:
        """Remove and return the first request that a server may get."""
        for waiting in self.requests:
            if waiting.accepts(server) and now < waiting.ticket.deadline:
                self.rate.record_grant(now)
                self.remove(waiting)
                return waiting
        return None

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request, if it is still queued."""
        if waiting in self.requests:
            self.requests.remove(waiting)
        if not self.requests:
            self.rate.mark_idle()

    def retries(self) -> int:
        """Number of retries, which are at the front of the queue."""
        return sum(1 for waiting in self.requests if waiting.ticket.retry)

    def queue_full(self, limit: int, now: float) -> Failure:
        """Return the failure of a request that exceeds the limit."""
        rate = self.rate.per_second(now)
        return Failure(
            ErrorKind.QUEUE_FULL,
            f'{limit} requests of the client account are waiting',
            1 / rate if rate else None,
        )

    def excess_wait_seconds(self, ticket: Ticket, now: float) -> float:
        """Seconds by which the expected wait exceeds the deadline."""
        rate = self.rate.per_second(now)
        if rate is None:
            return 0
        ahead = self.retries() if ticket.retry else len(self.requests)
        # A rate that decayed to almost 0 would predict an endless wait. The
        # lower bound lets requests with a long deadline wait nevertheless.
        wait = (ahead + 1) / max(rate, 1e-3)
        return now + wait - ticket.deadline
