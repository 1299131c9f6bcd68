"""Collection of the admission status on one router."""

from collections.abc import Iterator

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.admission_status import (
    AccountStatus,
    AdmissionStatus,
    PoolStatus,
    ServerStatus,
)
from pollenloom.admission.grant_client import GrantClient
from pollenloom.admission.pool_allocator import PoolAllocator
from pollenloom.admission.pool_map import Pool
from pollenloom.admission.pool_owners import PoolOwners
from pollenloom.admission.server_state import ServerState
from pollenloom.core.ids import AccountId, ServiceId


class StatusReport:
    """Collects the status of the router side and of the owner side."""

    def __init__(
        self,
        scope: AdmissionScope,
        client: GrantClient,
        owners: PoolOwners,
    ) -> None:
        self.scope = scope
        self.client = client
        self.owners = owners

    def build(self, policy: str, now: float) -> AdmissionStatus:
        """Return the status of admission at `now`, monotonic seconds."""
        pools = self.scope.pool_map.pools.values()
        return AdmissionStatus(
            policy=policy,
            waiting=len(self.client.queues.requests),
            pools=tuple(self.pool_status(pool, now) for pool in pools),
            accounts=tuple(self.account_statuses()),
        )

    def pool_status(self, pool: Pool, now: float) -> PoolStatus:
        """Return the status of a pool, with servers if this VM owns it."""
        allocator = self.owners.allocators.get(pool.pool)
        epoch = self.scope.epochs.current(pool.pool).epoch
        return PoolStatus(
            pool=pool.pool,
            service=pool.service,
            data_centre=pool.data_centre,
            owner=self.scope.owners[pool.pool],
            epoch=allocator.epoch if allocator else epoch,
            waiting=allocator.queue.waiting if allocator else 0,
            servers=server_statuses(allocator, now) if allocator else (),
        )

    def account_statuses(self) -> Iterator[AccountStatus]:
        """Yield the status of all accounts of all services."""
        for service in self.scope.configuration.current.services:
            for account, share in self.scope.shares(service).items():
                yield self.account_status(service, account, share)

    def account_status(
        self,
        service: ServiceId,
        account: AccountId,
        share: float,
    ) -> AccountStatus:
        """Return the status of one account of one service."""
        totals = self.owners.exchange.totals(service)
        return AccountStatus(
            account=account,
            service=service,
            share=share,
            served=totals.served(account),
            virtual_time=totals.time_of(account),
            waiting=len(self.client.queues.find(service, account)),
        )


def server_statuses(
    allocator: PoolAllocator,
    now: float,
) -> tuple[ServerStatus, ...]:
    """Return the status of all servers of an owned pool."""
    return tuple(server_status(state, now) for state in allocator.servers)


def server_status(state: ServerState, now: float) -> ServerStatus:
    """Return the status of one server."""
    return ServerStatus(
        server=state.server.server,
        version=state.server.version,
        in_flight=state.in_flight,
        limit=state.ramp.limit_at(now),
        slots=state.server.slots,
        cold=state.ramp.cold,
        leaving=not state.listed,
    )
