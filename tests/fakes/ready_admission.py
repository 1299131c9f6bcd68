"""Admission that grants without waiting and records settlements."""

from collections import deque
from itertools import count

from expression import Error, Ok, Result

from pollenloom.admission.admission import Admission
from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.admission.grant import Grant
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.ticket import Ticket
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import GrantId, PoolId
from pollenloom.core.states import Outcome
from pollenloom.kernel.clock import Clock

EPOCH = 7


class ReadyAdmission(Admission):
    """Grants the first server of the service that is not excluded.

    Attributes:
        servers: Servers in the order of preference.
        tickets: Tickets of all calls to `acquire`.
        settlements: All settlements.
        open: Grants that are not settled yet.
        lifetimes: Lifetimes of the next grants in seconds; 60 for later ones.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.servers: list[BackendServer] = []
        self.numbers = count(1)
        self.tickets: list[Ticket] = []
        self.settlements: list[Settlement] = []
        self.open: set[GrantId] = set()
        self.lifetimes: deque[float] = deque()

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        """Grant without waiting, or fail if no server is left."""
        self.tickets.append(ticket)
        for server in self.servers:
            if server.service != ticket.service:
                continue
            if server.server not in ticket.excluded:
                return Ok(self.grant(ticket, server))
        return Error(Failure(ErrorKind.NO_CAPACITY, 'no server is left'))

    def grant(self, ticket: Ticket, server: BackendServer) -> Grant:
        """Create a grant and record it as open."""
        grant_id = GrantId(f'grant-{next(self.numbers)}')
        self.open.add(grant_id)
        lifetime = self.lifetimes.popleft() if self.lifetimes else 60
        return Grant(
            grant_id=grant_id,
            pool=PoolId('pool'),
            account=ticket.account,
            route=ticket.route,
            server=server,
            epoch=EPOCH,
            expires_at=self.clock.monotonic() + lifetime,
            charged=ticket.cost_hint,
        )

    def settle(self, settlement: Settlement) -> None:
        """Record a settlement.

        Raises:
            KeyError: If the grant is settled already.
        """
        self.open.remove(settlement.grant.grant_id)
        self.settlements.append(settlement)

    def status(self, now: float) -> AdmissionStatus:
        """Return a status without pools."""
        return AdmissionStatus(policy='ready')

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes in the order of settlement."""
        return [settlement.outcome for settlement in self.settlements]
