"""Allocates the pools that this VM owns and sends the grants."""

import asyncio

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.messages import GrantedSlot, Grants
from pollenloom.admission.pool_allocator import (
    CHECK_INTERVAL_SECONDS,
    PoolAllocator,
)
from pollenloom.core.ids import GrantId, PoolId, VmId

# Timers may fire early by up to the resolution of the event loop's clock;
# without a minimum the task would wake again at once.
MIN_WAIT_SECONDS = 0.001


class GrantSender:
    """Allocates after each event without delay and sends the grants.

    Attributes:
        allocators: Allocators of the pools that this VM owns.
        pending_pools: Pools to allocate in the next loop iteration.
        wake_up: Set when the owner's task has to wake before `due_at`.
        due_at: When the owner's task wakes next, monotonic seconds.
    """

    def __init__(self, scope: AdmissionScope) -> None:
        self.scope = scope
        self.allocators: dict[PoolId, PoolAllocator] = {}
        self.pending_pools: set[PoolId] = set()
        self.wake_up = asyncio.Event()
        self.due_at: float = 0

    def allocate_soon(self, pool: PoolId) -> None:
        """Schedule an allocation for the next iteration of the event loop."""
        if not self.pending_pools:
            asyncio.get_running_loop().call_soon(self.allocate)
        self.pending_pools.add(pool)

    def allocate(self) -> None:
        """Give free slots of the pending pools to waiting requests."""
        pools = tuple(self.pending_pools)
        self.pending_pools.clear()
        now = self.scope.now()
        for pool in pools:
            allocator = self.allocators.get(pool)
            if allocator is not None:
                self.allocate_pool(allocator, now)
                self.wake_if_due_earlier(allocator, now)

    def wake_if_due_earlier(self, allocator: PoolAllocator, now: float) -> None:
        """Wake the owner's task if a server opens before the task is due."""
        is_waiting = bool(allocator.queue.backlog)
        if is_waiting and allocator.servers.next_opening(now) < self.due_at:
            self.wake_up.set()

    def allocate_pool(self, allocator: PoolAllocator, now: float) -> None:
        """Allocate one pool and send each router its grants in one message."""
        by_router: dict[VmId, list[GrantedSlot]] = {}
        for allocation in allocator.allocate(now):
            slots = by_router.setdefault(allocation.router, [])
            slots.append(allocation.slot)
        for router, slots in by_router.items():
            self.send(allocator, router, tuple(slots), ())

    def send(
        self,
        allocator: PoolAllocator,
        router: VmId,
        slots: tuple[GrantedSlot, ...],
        check: tuple[GrantId, ...],
    ) -> None:
        """Send a router its grants, checks and the acknowledgement."""
        stream = allocator.streams.get(router)
        if stream is None:
            return
        grants = Grants(
            pool=allocator.pool,
            stream=stream.stream,
            epoch=allocator.epoch,
            sequence=stream.next_sequence(),
            acknowledged=stream.received,
            slots=slots,
            check=check,
        )
        self.scope.send(router, grants)

    def sweep(self, now: float) -> None:
        """Free expired grants; send due acknowledgements and checks."""
        for allocator in self.allocators.values():
            allocator.sweep(now)
            to_check = allocator.ledger.take_due_checks(
                now, CHECK_INTERVAL_SECONDS
            )
            unacknowledged = allocator.streams.unacknowledged(now)
            for router in sorted(unacknowledged | to_check.keys()):
                check = tuple(to_check.get(router, ()))
                self.send(allocator, router, (), check)

    def seconds_to_due(self, max_seconds: float) -> float:
        """Seconds until a blocked or paused server may get grants.

        At least `MIN_WAIT_SECONDS`, at most `max_seconds`. Counts only
        pools with waiting requests.
        """
        now = self.scope.now()
        self.due_at = now + max_seconds
        for allocator in self.allocators.values():
            if allocator.queue.backlog:
                self.due_at = min(
                    self.due_at, allocator.servers.next_opening(now)
                )
        return max(MIN_WAIT_SECONDS, self.due_at - now)
