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

# A VM that did not run for this long may have been replaced meanwhile.
PAUSE_SECONDS = 1.0
# Most acknowledgements travel with a grant before that.
ACKNOWLEDGE_SECONDS = 1.0
SWEEP_INTERVAL_SECONDS = 1.0


class PoolOwners:
    """Runs a `PoolAllocator` for each pool that this VM owns."""

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
        self.detector = PauseDetector(PAUSE_SECONDS)
        self.created_count = 0
        self.has_load_reports = False
        self.queried_routers: set[VmId] = {scope.own}
        self.takeovers = Takeovers(scope)
        self.swept_at: float = 0

    def refresh(self) -> None:
        """Follow the configuration and the membership."""
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
            if self.scope.owners.get(pool_id, self.scope.own) != self.scope.own:
                self.release_pool(pool_id)
            elif pool_id not in pools:
                self.allocators[pool_id].servers.replace((), (), now)
        self.query_new_members()
        for pool in pools.values():
            if self.scope.owners[pool.pool] == self.scope.own:
                self.update_owned_pool(pool, now)

    def query_new_members(self) -> None:
        """Ask routers that came into view for grants of other owners.

        After a partition they may hold grants of the owner on their side.
        """
        members = set(self.scope.routers())
        joined = members - self.queried_routers
        was_alone = len(self.queried_routers) == 1
        self.queried_routers = members
        if not joined:
            return
        for allocator in self.allocators.values():
            if was_alone:
                # Others may have owned the pool all the time.
                epoch = allocator.epoch + 1
                self.takeovers.restart(
                    allocator,
                    epoch,
                    self.scope.now(),
                    'this router was alone',
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
        """Own a pool with its present servers."""
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
        """Take over a pool."""
        self.created_count += 1
        totals = self.exchange.take_over(pool)
        prefix = f'{self.scope.own}.{self.scope.stream:x}.{self.created_count}'
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
        """Raise no limit of a new server before its first load report."""
        self.has_load_reports = True
        for allocator in self.allocators.values():
            allocator.servers.has_load_reports = True

    def release_pool(self, pool: PoolId) -> None:
        """Leave a pool to its new owner."""
        self.exchange.send_all(self.allocators[pool])
        self.scope.event_log.released(pool, self.scope.owners.get(pool))
        released = self.allocators.pop(pool)
        released.queue.clear()
        released.totals.owns_pools = any(
            allocator.service == released.service
            for allocator in self.allocators.values()
        )

    def release_removed_pools(self) -> None:
        """Leave pools that are gone once their grants are settled."""
        removed_pools = (
            self.allocators.keys() - self.scope.pool_map.pools.keys()
        )
        for pool in removed_pools:
            allocator = self.allocators[pool]
            if not allocator.servers.servers and not allocator.ledger.open:
                self.release_pool(pool)

    def on_demand(self, sender: VmId, message: Demand) -> None:
        """Take demand and settlements, then allocate."""
        now = self.scope.now()
        self.check_pause(now)
        allocator = self.allocators.get(message.pool)
        if allocator is None:
            self.scope.send(sender, NotOwner(message.pool))
            return
        allocator.demand(sender, message, now)
        self.takeovers.exceed_seen_epochs(allocator, now)
        self.sender.allocate_soon(message.pool)

    def on_report(self, sender: VmId, message: TakeoverReport) -> None:
        """Count what a router holds from earlier owners."""
        allocator = self.allocators.get(message.pool)
        if allocator is not None:
            now = self.scope.now()
            allocator.apply_report(sender, message, now)
            if not allocator.servers.awaited_routers():
                self.exchange.announce_starting_totals(allocator, now)
            self.sender.allocate_soon(message.pool)

    def on_newer_owner(self, sender: VmId, message: NewerOwner) -> None:
        """A router follows a newer owner of a pool of this VM."""
        allocator = self.allocators.get(message.pool)
        now = self.scope.now()
        if allocator is None or message.epoch < allocator.epoch:
            return
        self.takeovers.raise_epoch(
            allocator,
            message.epoch + 1,
            now,
            f'{sender} followed a newer owner',
        )

    def on_load_report(
        self,
        pool: PoolId,
        server: ServerId,
        report: EngineLoadReport,
        at: float,
    ) -> None:
        """Learn from a load report that was right at an earlier time."""
        allocator = self.allocators.get(pool)
        state = allocator.servers.get(server) if allocator else None
        if allocator is None or state is None:
            return
        now = self.scope.now()
        state.take_report(report, at, now)
        allocator.servers.fencing.report(report.highest_fencing_number)
        self.takeovers.exceed_seen_epochs(allocator, now)
        self.sender.allocate_soon(pool)

    def on_exchange(self, sender: VmId, message: CounterExchange) -> None:
        """Take over the totals of another pool."""
        allocator = self.allocators.get(message.pool)
        if allocator is None:
            self.scope.epochs.observe(message.pool, message.epoch, sender)
            self.exchange.receive(message, self.scope.now())
        elif not has_granted(self.allocators.values(), message.service):
            # The predecessor leaves the pool while this VM takes it over.
            self.exchange.resume(message)

    def check_pause(self, now: float) -> None:
        """After a pause, learn anew what is in flight."""
        if not self.detector.resumed(now):
            return
        for allocator in self.allocators.values():
            known = self.scope.epochs.current(allocator.pool).epoch
            epoch = max(known, allocator.epoch) + 1
            self.takeovers.restart(
                allocator,
                epoch,
                now,
                'this router did not run for a while',
            )

    def tick(self) -> None:
        """Do what is due by the passing of time."""
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
    """Whether this VM has granted anything for a service."""
    return any(
        allocator.grant_count
        for allocator in allocators
        if allocator.service == service
    )
