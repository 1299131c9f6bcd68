"""Admission that grants at once and keeps what was settled."""

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
    """Gives the first server of the service that is not excluded."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.servers: list[BackendServer] = []
        self.numbers = count(1)
        self.tickets: list[Ticket] = []
        self.settlements: list[Settlement] = []
        self.open: set[GrantId] = set()
        # Lifetimes of the next grants in seconds; 60 for all others.
        self.lifetimes: deque[float] = deque()

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        """Grant at once."""
        self.tickets.append(ticket)
        for server in self.servers:
            if server.service != ticket.service:
                continue
            if server.server not in ticket.excluded:
                return Ok(self.grant(ticket, server))
        return Error(Failure(ErrorKind.NO_CAPACITY, 'no server is left'))

    def grant(self, ticket: Ticket, server: BackendServer) -> Grant:
        """Make a grant and remember that it is open."""
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
        """Keep a settlement; a grant settled twice is an error."""
        self.open.remove(settlement.grant.grant_id)
        self.settlements.append(settlement)

    def status(self, now: float) -> AdmissionStatus:
        """Return an empty status."""
        return AdmissionStatus(policy='ready')

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes in the order of settlement."""
        return [settlement.outcome for settlement in self.settlements]
