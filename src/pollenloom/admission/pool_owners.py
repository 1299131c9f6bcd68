"""Owner side of admission: the pools that this VM owns."""

from collections.abc import Iterable

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)
from pollenloom.admission.grant_sender import GrantSender
from pollenloom.admission.messages import (
    CounterExchange,
    Demand,
    NewerOwner,
    NotOwner,
    TakeoverReport,
)
from pollenloom.admission.pause_detector import PauseDetector
from pollenloom.admission.pool_allocator import (
    AllocatorOptions,
    PoolAllocator,
)
from pollenloom.admission.pool_map import Pool
from pollenloom.admission.takeovers import Takeovers
from pollenloom.admission.totals_exchange import TotalsExchange
from pollenloom.admission.version_shares import UnlimitedShares, VersionShares
from pollenloom.core.ids import PoolId, ServerId, ServiceId, VmId

# After a pause of this length, another VM may have taken over the pools.
PAUSE_SECONDS = 1.0
# Most acknowledgements are sent earlier, together with a grant.
ACKNOWLEDGE_SECONDS = 1.0
SWEEP_INTERVAL_SECONDS = 1.0


class PoolOwners:
    """Runs a `PoolAllocator` for each pool that this VM owns.

    Attributes:
        scope: State shared with the router side.
        options: Switches of the allocators.
        version_shares: Part of the grants that each version may get.
        sender: Sends the allocators' grants.
        allocators: Allocator of each owned pool.
        exchange: Exchanges totals with owners of other pools.
        pause_detector: Detects pauses of this process.
        created_count: Allocators created so far; makes grant ids unique.
        has_load_reports: Whether the servers' load reports are read.
        queried_routers: Routers that were asked for grants of other owners.
        takeovers: Requests reports and fences former owners off.
        swept_at: When settled and lost grants were last swept, monotonic
            seconds.
    """

    def __init__(
        self,
        scope: AdmissionScope,
        options: AllocatorOptions,
    ) -> None:
        self.scope = scope
        self.options = options
        self.version_shares: VersionShares = UnlimitedShares()
        self.sender = GrantSender(scope)
        self.allocators = self.sender.allocators
        self.exchange = TotalsExchange(scope)
        self.pause_detector = PauseDetector(PAUSE_SECONDS)
        self.created_count = 0
        self.has_load_reports = False
        self.queried_routers: set[VmId] = {scope.local_vm}
        self.takeovers = Takeovers(scope)
        self.swept_at: float = 0

    def refresh(self) -> None:
        """Apply changes of the configuration and the membership."""
        now = self.scope.now()
        self.exchange.refresh()
        alive = set(self.scope.awaited_routers())
        for allocator in self.allocators.values():
            allocator.estimator.retain(set(allocator.totals.shares))
            for router in allocator.known_routers() - alive:
                allocator.remove_router(router, now)
            self.sender.allocate_soon(allocator.pool)
        pools = self.scope.pool_map.pools
        for pool_id in tuple(self.allocators):
            if (
                self.scope.owners.get(pool_id, self.scope.local_vm)
                != self.scope.local_vm
            ):
                self.release_pool(pool_id)
            elif pool_id not in pools:
                self.allocators[pool_id].servers.replace((), (), now)
        self.query_new_members()
        for pool in pools.values():
            if self.scope.owners[pool.pool] == self.scope.local_vm:
                self.update_owned_pool(pool, now)

    def query_new_members(self) -> None:
        """Request reports from routers that became members.

        After a partition they may hold grants of the pool owner on their
        side.
        """
        members = set(self.scope.routers())
        joined = members - self.queried_routers
        was_alone = len(self.queried_routers) == 1
        self.queried_routers = members
        if not joined:
            return
        for allocator in self.allocators.values():
            if was_alone:
                # Other routers may have owned the pool meanwhile.
                epoch = allocator.epoch + 1
                self.takeovers.restart(
                    allocator,
                    epoch,
                    self.scope.now(),
                    'this router had found no other router',
                )
            else:
                servers = tuple(allocator.servers.servers)
                self.takeovers.request_reports(
                    allocator,
                    servers,
                    joined,
                    takeover=False,
                )

    def update_owned_pool(self, pool: Pool, now: float) -> None:
        """Set the servers of an owned pool, taking it over if needed."""
        allocator = self.allocators.get(pool.pool)
        is_new = allocator is None
        if allocator is None:
            allocator = self.create_allocator(pool)
        routers = self.scope.awaited_routers()
        added = allocator.servers.replace(pool.servers, routers, now)
        if added:
            self.takeovers.request_reports(
                allocator,
                added,
                self.scope.routers(),
                takeover=is_new,
            )
        self.sender.allocate_soon(pool.pool)

    def create_allocator(self, pool: Pool) -> PoolAllocator:
        """Take over a pool with an epoch above the highest one seen."""
        self.created_count += 1
        totals = self.exchange.take_over(pool)
        prefix = (
            f'{self.scope.local_vm}.{self.scope.stream:x}.{self.created_count}'
        )
        allocator = PoolAllocator(
            pool.pool,
            pool.service,
            totals,
            self.version_shares,
            self.options,
            prefix,
        )
        allocator.servers.has_load_reports = self.has_load_reports
        allocator.epoch = self.scope.epochs.current(pool.pool).epoch + 1
        self.allocators[pool.pool] = allocator
        self.scope.event_log.taken_over(
            pool.pool,
            allocator.epoch,
            'this router ranks first',
        )
        return allocator

    def expect_load_reports(self) -> None:
        """Keep new servers at their first limit until a load report comes."""
        self.has_load_reports = True
        for allocator in self.allocators.values():
            allocator.servers.has_load_reports = True

    def release_pool(self, pool: PoolId) -> None:
        """Send a pool's last totals to its new owner and stop allocating."""
        self.exchange.send_all(self.allocators[pool])
        self.scope.event_log.released(pool, self.scope.owners.get(pool))
        released = self.allocators.pop(pool)
        released.queue.clear()
        released.totals.owns_pools = any(
            allocator.service == released.service
            for allocator in self.allocators.values()
        )

    def release_removed_pools(self) -> None:
        """Release removed pools whose grants are all settled."""
        removed_pools = (
            self.allocators.keys() - self.scope.pool_map.pools.keys()
        )
        for pool in removed_pools:
            allocator = self.allocators[pool]
            if not allocator.servers.servers and not allocator.ledger.open:
                self.release_pool(pool)

    def on_demand(self, sender: VmId, message: Demand) -> None:
        """Apply demand and settlements, then allocate."""
        now = self.scope.now()
        self.check_pause(now)
        allocator = self.allocators.get(message.pool)
        if allocator is None:
            self.scope.send(sender, NotOwner(message.pool))
            return
        allocator.apply_demand(sender, message, now)
        self.takeovers.exceed_seen_epochs(allocator, now)
        self.sender.allocate_soon(message.pool)

    def on_report(self, sender: VmId, message: TakeoverReport) -> None:
        """Record the grants that a router holds from earlier owners."""
        allocator = self.allocators.get(message.pool)
        if allocator is not None:
            now = self.scope.now()
            allocator.apply_report(sender, message, now)
            if not allocator.servers.awaited_routers():
                self.exchange.announce_starting_totals(allocator, now)
            self.sender.allocate_soon(message.pool)

    def on_newer_owner(self, sender: VmId, message: NewerOwner) -> None:
        """Raise the epoch if a router has accepted a newer owner."""
        allocator = self.allocators.get(message.pool)
        now = self.scope.now()
        if allocator is None or message.epoch < allocator.epoch:
            return
        self.takeovers.raise_epoch(
            allocator,
            message.epoch + 1,
            now,
            f'{sender} accepted a newer owner',
        )

    def on_load_report(
        self,
        pool: PoolId,
        server: ServerId,
        report: EngineLoadReport,
        measured_at: float,
    ) -> None:
        """Apply a server's load report, measured at monotonic seconds.

        Ignored if this VM does not own the pool or the server was removed.
        """
        allocator = self.allocators.get(pool)
        state = allocator.servers.get(server) if allocator else None
        if allocator is None or state is None:
            return
        now = self.scope.now()
        state.apply_report(report, measured_at, now)
        allocator.servers.fencing.report(report.highest_fencing_number)
        self.takeovers.exceed_seen_epochs(allocator, now)
        self.sender.allocate_soon(pool)

    def on_exchange(self, sender: VmId, message: CounterExchange) -> None:
        """Apply the totals of another pool, or of a predecessor."""
        allocator = self.allocators.get(message.pool)
        if allocator is None:
            self.scope.epochs.observe(message.pool, message.epoch, sender)
            self.exchange.receive(message, self.scope.now())
        elif not has_granted(self.allocators.values(), message.service):
            # Sent by the predecessor as it releases the pool. It arrived after
            # this VM took the pool over, but before its first grant.
            self.exchange.resume(message)

    def check_pause(self, now: float) -> None:
        """After a pause of this process, restart the takeover of its pools."""
        if not self.pause_detector.check_resumed(now):
            return
        for allocator in self.allocators.values():
            known = self.scope.epochs.current(allocator.pool).epoch
            epoch = max(known, allocator.epoch) + 1
            self.takeovers.restart(
                allocator,
                epoch,
                now,
                'this router was paused',
            )

    def tick(self) -> None:
        """Do the periodic work: allocate, sweep and exchange totals."""
        now = self.scope.now()
        self.check_pause(now)
        for allocator in self.allocators.values():
            self.takeovers.exceed_seen_epochs(allocator, now)
            self.sender.allocate_pool(allocator, now)
        if now - self.swept_at >= SWEEP_INTERVAL_SECONDS:
            self.swept_at = now
            self.sender.sweep(now)
            self.scope.event_log.record_limit_changes(self.allocators.values())
            self.release_removed_pools()
        self.exchange.tick(self.allocators, now)


def has_granted(
    allocators: Iterable[PoolAllocator],
    service: ServiceId,
) -> bool:
    """Whether any of the allocators of a service has given a grant."""
    return any(
        allocator.grant_count
        for allocator in allocators
        if allocator.service == service
    )
