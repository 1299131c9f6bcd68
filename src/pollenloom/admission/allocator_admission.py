"""Admission by pool owners that allocate the fleet's slots."""

import asyncio
from contextlib import suppress
from typing import ClassVar, Self

from expression import Error, Ok, Result

from pollenloom.admission.admission import Admission
from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.admission.engine_reports.report_readers import ReportReaders
from pollenloom.admission.epoch_table import NO_OWNER
from pollenloom.admission.grant import Grant
from pollenloom.admission.grant_client import (
    ANNOUNCE_TO_ALL_SECONDS,
    GrantClient,
)
from pollenloom.admission.home_pool import HomePool
from pollenloom.admission.messages import (
    CounterExchange,
    Demand,
    Grants,
    NewerOwner,
    NotOwner,
    ReportRequest,
    TakeoverReport,
)
from pollenloom.admission.pool_allocator import AllocatorOptions
from pollenloom.admission.pool_owners import PoolOwners
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.status_report import StatusReport
from pollenloom.admission.ticket import Ticket
from pollenloom.admission.version_move_shares import VersionMoveShares
from pollenloom.admission.version_shares import VersionShares
from pollenloom.admission.waiting_queue import WaitingRequest
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import ServerId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.moves.move_service import MoveService
from pollenloom.settings.router_settings import RouterSettings

IDLE_TICK_SECONDS = 0.1
# A new configuration or VM list usually arrives within this time.
NO_CAPACITY_RETRY_SECONDS = 1.0


class AllocatorAdmission(Admission):
    """Queues requests on routers and allocates slots by pool owners.

    Both sides run on each VM. A VM owns the pools for which it ranks first.

    Attributes:
        reads_reports: Whether load reports of backend servers are used.
        shard_servers: Servers in each pool shard.
    """

    reads_reports: ClassVar[bool] = True

    def __init__(
        self,
        kernel: Kernel,
        settings: RouterSettings,
        shard_servers: int,
    ) -> None:
        self.kernel = kernel
        self.settings = settings
        self.shard_servers = shard_servers
        self.stopping = False

    @classmethod
    def from_config(
        cls,
        kernel: Kernel,
        settings: RouterSettings,
    ) -> Self:
        """Create the service from a router's settings."""
        shard_servers = settings.admission.shard_servers
        if settings.admission.policy == 'server_owner':
            shard_servers = 1
        return cls(kernel, settings, shard_servers)

    async def start(self) -> None:
        """Connect to the other services and start both sides."""
        admission = self.settings.admission
        options = AllocatorOptions(
            fair=admission.fair,
            ramp=admission.ramp,
            affinity=admission.affinity,
        )
        self.scope = self.make_scope()
        self.scope.expects_other_routers = bool(self.settings.peers.seeds)
        self.client = GrantClient(self.scope)
        self.owners = PoolOwners(self.scope, options)
        self.home = HomePool(self.scope)
        self.readers = ReportReaders.from_kernel(self.kernel, self.owners)
        if KernelServiceName.MOVES in self.kernel.services:
            moves = self.kernel.find(KernelServiceName.MOVES, MoveService)
            self.limit_versions(VersionMoveShares(moves))
        self.subscribe()
        self.scope.configuration.watch(self.refresh)
        self.scope.membership.add_listener(self.refresh)
        self.refresh()
        self.kernel.spawn('admission-router', self.run_client())
        self.kernel.spawn('admission-owner', self.run_owners())

    def make_scope(self) -> AdmissionScope:
        """Create the scope from the services of the kernel."""
        return AdmissionScope.from_kernel(self.kernel, self.shard_servers)

    async def drain(self) -> None:
        """Wait until no request is waiting or in flight."""
        while self.client.queues.requests or self.client.in_use:
            await asyncio.sleep(ANNOUNCE_TO_ALL_SECONDS)

    async def stop(self) -> None:
        """Reject all waiting requests."""
        self.stopping = True
        self.client.close()

    def limit_versions(self, shares: VersionShares) -> None:
        """Limit versions to their shares of the grants."""
        self.owners.version_shares = shares
        for allocator in self.owners.allocators.values():
            allocator.credit.shares = shares

    def observe_epoch(self, server: ServerId, epoch: int) -> None:
        """Reject owners of the server's pool with a lower fencing number."""
        pool = self.scope.pool_map.pool_of.get(server)
        if pool is not None:
            self.scope.epochs.observe(pool, epoch, NO_OWNER.owner)

    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        """Wait for a grant; see `Admission.acquire`."""
        if self.stopping:
            return Error(shutting_down())
        home = self.home.choose(ticket)
        if home is None:
            detail = f'no usable server of {ticket.service} for the request'
            retry_after = NO_CAPACITY_RETRY_SECONDS
            return Error(Failure(ErrorKind.NO_CAPACITY, detail, retry_after))
        now = self.scope.now()
        waiting = WaitingRequest(ticket, now, home)
        queue = self.client.queues.queue(ticket)
        offered = queue.offer(waiting, self.scope.queue_limit(ticket), now)
        if offered.is_error():
            return Error(offered.error)
        return await self.wait(waiting)

    async def wait(self, waiting: WaitingRequest) -> Result[Grant, Failure]:
        """Wait until the request has a usable grant, or its deadline."""
        deadline = waiting.ticket.deadline
        while not self.stopping:
            event = self.client.announce(waiting)
            try:
                async with asyncio.timeout(deadline - self.scope.now()):
                    await event.wait()
            except TimeoutError:
                self.client.withdraw(waiting)
                return Error(deadline_exceeded())
            except asyncio.CancelledError:
                self.client.withdraw(waiting)
                raise
            grant = self.client.take_grant(waiting)
            if grant is not None:
                return Ok(grant)
            queue = self.client.queues.queue(waiting.ticket)
            queue.requeue(waiting, self.scope.now())
        self.client.withdraw(waiting)
        return Error(shutting_down())

    def settle(self, settlement: Settlement) -> None:
        """Report the use of a grant and correct its charge."""
        self.client.settle(settlement)

    def status(self, now: float) -> AdmissionStatus:
        """Return queues, pools and shares as known to this router."""
        policy = self.settings.admission.policy
        return StatusReport(self.scope, self.client, self.owners).build(
            policy,
            now,
        )

    def refresh(self) -> None:
        """Apply changes of the configuration and the membership."""
        self.scope.refresh()
        self.client.refresh()
        self.owners.refresh()
        if self.reads_reports:
            self.readers.refresh()

    def subscribe(self) -> None:
        """Register the handlers of the peer messages of admission."""
        scope = self.scope
        scope.subscribe(Demand, self.owners.on_demand)
        scope.subscribe(Grants, self.client.on_grants)
        scope.subscribe(ReportRequest, self.client.on_report_request)
        scope.subscribe(TakeoverReport, self.owners.on_report)
        scope.subscribe(NotOwner, self.client.on_not_owner)
        scope.subscribe(NewerOwner, self.owners.on_newer_owner)
        scope.subscribe(CounterExchange, self.owners.on_exchange)

    async def run_client(self) -> None:
        """Repeat demand, and announce it to more pools, while requests wait."""
        client = self.client
        while True:
            if client.queues.requests:
                await asyncio.sleep(ANNOUNCE_TO_ALL_SECONDS)
            else:
                await wait_for_event(client.request_arrived, IDLE_TICK_SECONDS)
            client.request_arrived.clear()
            client.tick()

    async def run_owners(self) -> None:
        """Allocate slots that become free with time, and exchange totals."""
        owners = self.owners
        while True:
            seconds = owners.sender.seconds_to_due(
                owners.exchange.interval_seconds
            )
            await wait_for_event(owners.sender.wake_up, seconds)
            owners.sender.wake_up.clear()
            owners.tick()


async def wait_for_event(event: asyncio.Event, seconds: float) -> None:
    """Wait for an event for at most the given time."""
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


def shutting_down() -> Failure:
    """Return the failure of a request to a stopping router."""
    return Failure(ErrorKind.SHUTTING_DOWN, 'admission is stopping')


def deadline_exceeded() -> Failure:
    """Return the failure of a request that got no grant in time."""
    detail = 'no backend server was free before the deadline'
    return Failure(ErrorKind.DEADLINE_EXCEEDED, detail)
