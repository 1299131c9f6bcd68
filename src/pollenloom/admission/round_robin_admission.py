"""Baseline: no admission control."""

from itertools import count

from expression import Error, Ok, Result

from pollenloom.admission.admission import Admission
from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.admission.grant import Grant
from pollenloom.admission.grant_client import GRANT_VALIDITY_SECONDS
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.ticket import Ticket
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import GrantId
from pollenloom.kernel.kernel import Kernel
from pollenloom.settings.router_settings import RouterSettings


class RoundRobinAdmission(Admission):
    """Grants each request at once the next server in turn."""

    def __init__(self, kernel: Kernel, settings: RouterSettings) -> None:
        self.kernel = kernel
        self.settings = settings
        self.grant_numbers = count(1)

    @classmethod
    def from_config(
        cls,
        kernel: Kernel,
        settings: RouterSettings,
    ) -> 'RoundRobinAdmission':
        """Create the service from a router's settings."""
        return cls(kernel, settings)

    async def start(self) -> None:
        """Find the servers and watch for changes."""
        shard_servers = self.settings.admission.shard_servers
        self.scope = AdmissionScope.from_kernel(self.kernel, shard_servers)
        self.scope.configuration.watch(self.scope.refresh)
        self.scope.membership.add_listener(self.scope.refresh)
        self.scope.refresh()

    async def stop(self) -> None:
        """Do nothing; no task was started."""

    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        """Return a grant at once, or NO_CAPACITY without a usable server."""
        servers = self.candidates(ticket)
        if not servers:
            detail = f'no usable server of {ticket.service} for the request'
            return Error(Failure(ErrorKind.NO_CAPACITY, detail))
        number = next(self.grant_numbers)
        server = servers[number % len(servers)]
        grant = Grant(
            grant_id=GrantId(f'{self.scope.local_vm}.{number}'),
            pool=self.scope.pool_map.pool_of[server.server],
            account=ticket.account,
            route=ticket.route,
            server=server,
            epoch=1,
            expires_at=self.scope.now() + GRANT_VALIDITY_SECONDS,
            charged=ticket.cost_hint,
        )
        return Ok(grant)

    def settle(self, settlement: Settlement) -> None:
        """Do nothing, since grants are not counted."""

    def status(self, now: float) -> AdmissionStatus:
        """Return a status without queues, since no request waits."""
        return AdmissionStatus(policy=self.settings.admission.policy)

    def candidates(self, ticket: Ticket) -> list[BackendServer]:
        """Return usable servers of the local data centre, else of others."""
        pools = self.scope.pools_of(ticket.service)
        local_pools = [pool for pool in pools if self.scope.is_local(pool)]
        return [
            server
            for pool in local_pools or pools
            for server in pool.servers
            if server.server not in ticket.excluded
        ]
