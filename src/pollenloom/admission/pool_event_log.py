"""Event records of pool takeovers and server limits."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Self

from pollenloom.core.ids import PoolId, ServerId, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog

if TYPE_CHECKING:
    from pollenloom.admission.pool_allocator import PoolAllocator
    from pollenloom.admission.server_state import ServerState


class PoolEventLog:
    """Records changes of pool owners and of server limits as events.

    Attributes:
        events: Event log; with None nothing is recorded.
        limits: Limit of each server at the previous comparison.
    """

    def __init__(self, events: EventLog | None = None) -> None:
        self.events = events
        self.limits: dict[ServerId, int] = {}

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Use the event log of the process, if it has one."""
        if KernelServiceName.EVENTS not in kernel.services:
            return cls()
        return cls(kernel.find(KernelServiceName.EVENTS, EventLog))

    def taken_over(self, pool: PoolId, epoch: int, reason: str) -> None:
        """Record that this VM has begun to allocate for a pool."""
        if self.events is not None:
            self.events.record(
                'pool_taken_over',
                pool,
                epoch=epoch,
                reason=reason,
            )

    def released(self, pool: PoolId, owner: VmId | None) -> None:
        """Record that this VM no longer allocates for a pool.

        Without an `owner` the pool itself was removed.
        """
        if self.events is not None:
            reason = 'another router ranks first'
            if owner is None:
                reason = 'the pool was removed'
            self.events.record('pool_left', pool, owner=owner, reason=reason)

    def record_limit_changes(
        self, allocators: Iterable['PoolAllocator']
    ) -> None:
        """Record the servers whose limit changed since the last call."""
        previous = self.limits
        self.limits = {}
        for allocator in allocators:
            for state in allocator.servers:
                server = state.server.server
                self.limits[server] = state.ramp.limit
                before = previous.get(server)
                if before != state.ramp.limit:
                    self.record_limit(allocator.pool, state, before)

    def record_limit(
        self,
        pool: PoolId,
        state: 'ServerState',
        before: int | None,
    ) -> None:
        """Record one changed limit; `before` is None for a new server."""
        if self.events is None:
            return
        limit = state.ramp.limit
        event_name = 'server_warm'
        if state.ramp.cold:
            rises = before is not None and limit > before
            event_name = 'server_ramping' if rises else 'server_cold'
        self.events.record(
            event_name,
            state.server.server,
            pool=pool,
            limit=limit,
            before=before,
            slots=state.ramp.slots,
        )
