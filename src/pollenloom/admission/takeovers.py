"""Takeovers of pools, and the fencing numbers that they use."""

from collections.abc import Iterable

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.messages import ReportRequest
from pollenloom.admission.pool_allocator import PoolAllocator
from pollenloom.core.ids import PoolId, ServerId, VmId

# Two VMs that both assume to own a pool must not fence each other off faster
# than their views of the membership converge.
MIN_RESTART_INTERVAL_SECONDS = 1.0


class Takeovers:
    """Requests reports of grants and fences former owners off."""

    def __init__(self, scope: AdmissionScope) -> None:
        self.scope = scope
        self.restarted_at: dict[PoolId, float] = {}

    def request_reports(
        self,
        allocator: PoolAllocator,
        servers: Iterable[ServerId],
        routers: Iterable[VmId],
        *,
        takeover: bool,
    ) -> None:
        """Request reports of the grants that routers hold on servers."""
        request = ReportRequest(
            allocator.pool,
            allocator.epoch,
            takeover,
            tuple(servers),
        )
        for router in sorted(routers):
            self.scope.send(router, request)

    def restart(
        self,
        allocator: PoolAllocator,
        epoch: int,
        now: float,
        reason: str,
    ) -> None:
        """Restart the takeover of a pool that this VM owns already.

        The `reason` goes into the event log.
        """
        self.scope.event_log.taken_over(allocator.pool, epoch, reason)
        self.restarted_at[allocator.pool] = now
        allocator.await_reports(self.scope.awaited_routers(), epoch, now)
        self.request_reports(
            allocator,
            allocator.servers.servers,
            self.scope.routers(),
            takeover=True,
        )

    def raise_epoch(
        self,
        allocator: PoolAllocator,
        epoch: int,
        now: float,
        reason: str,
    ) -> None:
        """Restart the takeover with a higher epoch, but not too often."""
        last = self.restarted_at.get(allocator.pool, float('-inf'))
        if now - last >= MIN_RESTART_INTERVAL_SECONDS:
            self.restart(allocator, epoch, now, reason)

    def exceed_seen_epochs(self, allocator: PoolAllocator, now: float) -> None:
        """Raise the epoch if the pool's servers have seen a higher one."""
        fencing = allocator.servers.fencing
        if fencing.is_behind(allocator.epoch):
            epoch = self.scope.required_epoch(fencing.highest)
            self.raise_epoch(
                allocator,
                epoch,
                now,
                'a server has seen a higher fencing number',
            )
