"""Queues of waiting requests of one router."""

from collections.abc import Iterator

from pollenloom.admission.ticket import Ticket
from pollenloom.admission.waiting_queue import WaitingQueue, WaitingRequest
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import AccountId, ServiceId


class WaitingQueues:
    """One queue for each account of each service.

    Attributes:
        queues: Queues by service and account.
        requests: Announced requests without a grant, in order of
            announcement.
    """

    def __init__(self) -> None:
        self.queues: dict[ServiceId, dict[AccountId, WaitingQueue]] = {}
        self.requests: dict[WaitingRequest, None] = {}

    def queue(self, ticket: Ticket) -> WaitingQueue:
        """Return the queue of a request."""
        return self.find(ticket.service, ticket.account)

    def find(self, service: ServiceId, account: AccountId) -> WaitingQueue:
        """Return the queue of an account for a service; create it if needed."""
        queues = self.queues.setdefault(service, {})
        known = queues.get(account)
        if known is None:
            known = WaitingQueue()
            queues[account] = known
        return known

    def take(
        self,
        server: BackendServer,
        account: AccountId,
        now: float,
    ) -> WaitingRequest | None:
        """Remove and return the first request that a server may get."""
        queue = self.find(server.service, account)
        waiting = queue.take(server.server, now)
        if waiting is not None:
            self.requests.pop(waiting, None)
        return waiting

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request, if it still waits."""
        self.queue(waiting.ticket).remove(waiting)
        self.requests.pop(waiting, None)

    def accounts(self, service: ServiceId) -> Iterator[AccountId]:
        """Yield the account of each request that waits for a service."""
        for waiting in self.requests:
            if waiting.ticket.service == service:
                yield waiting.ticket.account
