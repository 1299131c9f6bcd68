"""Exchange of served totals between the owners of a service's pools."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import islice

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.messages import AccountTotal, CounterExchange
from pollenloom.admission.pool_allocator import PoolAllocator
from pollenloom.admission.pool_map import Pool
from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.core.ids import AccountId, PoolId, ServiceId, VmId

EXCHANGE_SECONDS = 0.25
# Keeps one owner below 40 exchange messages a second each way.
SECONDS_PER_RECEIVER = 0.03
# Less than half of the silence that counts as a partition.
KEEP_ALIVE_SECONDS = 0.9
# Unchanged accounts repeated with each message, against lost messages.
REPEATED_ACCOUNTS = 4


@dataclass(slots=True)
class HandoverState:
    """What a successor needs to continue with a pool's virtual times."""

    floor: float = 0
    times: dict[AccountId, float] = field(default_factory=dict)


@dataclass(slots=True)
class ReceiverState:
    """What one VM was sent about one pool."""

    sent_at: float = float('-inf')
    sent: dict[AccountId, float] = field(default_factory=dict)
    repeat_position: int = 0


ReceiverKey = tuple[PoolId, VmId | None]


class TotalsExchange:
    """Sends totals of own pools and takes over those of others."""

    def __init__(self, scope: AdmissionScope) -> None:
        self.scope = scope
        self.services: dict[ServiceId, ServiceTotals] = {}
        self.handover_states: dict[PoolId, HandoverState] = {}
        self.receivers: dict[ReceiverKey, ReceiverState] = {}
        self.announced_epochs: dict[PoolId, int] = {}
        self.exchanged_at: float = 0
        self.seconds = EXCHANGE_SECONDS

    def refresh(self) -> None:
        """Follow shares and owners of the configuration in force."""
        for service, totals in self.services.items():
            totals.configure(self.scope.shares(service))
        live = set(self.scope.routers())
        for key in tuple(self.receivers):
            if key[1] not in live:
                self.receivers.pop(key)

    def totals(self, service: ServiceId) -> ServiceTotals:
        """Return the totals of a service."""
        known = self.services.get(service)
        if known is None:
            known = ServiceTotals(self.scope.shares(service))
            self.services[service] = known
        return known

    def take_over(self, pool: Pool) -> ServiceTotals:
        """Continue with what the pool's predecessor sent."""
        totals = self.totals(pool.service)
        handover = self.handover_states.pop(pool.pool, None)
        if handover is not None and not totals.owns_pools:
            totals.restore(handover.times, handover.floor)
        totals.owns_pools = True
        return totals

    def receive(self, message: CounterExchange, now: float) -> None:
        """Charge what was served in another pool."""
        served = {total.account: total.served for total in message.totals}
        totals = self.totals(message.service)
        totals.merge(message.pool, message.epoch, served, now)
        if totals.owns_pools:
            return
        handover = self.handover_states.setdefault(
            message.pool, HandoverState()
        )
        handover.floor = message.floor
        for total in message.totals:
            handover.times[total.account] = total.time

    def resume(self, message: CounterExchange) -> None:
        """Continue with the totals and virtual times of a predecessor."""
        totals = self.totals(message.service)
        served = {total.account: total.served for total in message.totals}
        totals.served_in(message.pool).update(served)
        times = {total.account: total.time for total in message.totals}
        totals.restore(times, message.floor)

    def tick(
        self,
        allocators: Mapping[PoolId, PoolAllocator],
        now: float,
    ) -> None:
        """Send totals if the time has come."""
        if now - self.exchanged_at < self.seconds:
            return
        self.exchanged_at = now
        max_receivers = 0
        for pool, allocator in allocators.items():
            receivers = self.receivers_of(pool)
            max_receivers = max(max_receivers, len(receivers))
            for vm in receivers:
                self.send(vm, allocator, now)
        self.seconds = max(
            EXCHANGE_SECONDS, max_receivers * SECONDS_PER_RECEIVER
        )

    def send_all(self, allocator: PoolAllocator) -> None:
        """Send the last totals of a pool, all of them to its new owner."""
        pool = allocator.pool
        now = self.scope.now()
        self.receivers.pop((pool, self.scope.owners.get(pool)), None)
        for vm in self.receivers_of(pool):
            self.send(vm, allocator, now)

    def announce_starting_totals(
        self, allocator: PoolAllocator, now: float
    ) -> None:
        """Tell the others at which totals a new owner starts.

        They do not charge the first totals of an owner, so these are sent
        before it grants anything.
        """
        pool = allocator.pool
        if self.announced_epochs.get(pool) == allocator.epoch:
            return
        self.announced_epochs[pool] = allocator.epoch
        for vm in self.receivers_of(pool):
            self.receivers.pop((pool, vm), None)
            self.send(vm, allocator, now)

    def receivers_of(self, pool_id: PoolId) -> list[VmId]:
        """Owners of the service's other pools, and the next in rank."""
        pool = self.scope.pool_map.pools.get(pool_id)
        if pool is None:
            return []
        owners = self.scope.owners
        pools = self.scope.pool_map.by_service[pool.service]
        receivers = {owners[known.pool] for known in pools}
        receivers.update(self.scope.successor_vms(pool))
        receivers.discard(self.scope.own)
        return sorted(receivers)

    def send(self, vm: VmId, allocator: PoolAllocator, now: float) -> None:
        """Send what changed since the last message to a VM."""
        key = (allocator.pool, vm)
        receiver = self.receivers.setdefault(key, ReceiverState())
        served = allocator.totals.served_in(allocator.pool)
        changed = [
            account
            for account, cost in served.items()
            if receiver.sent.get(account) != cost
        ]
        is_keep_alive_due = now - receiver.sent_at >= KEEP_ALIVE_SECONDS
        if not changed and not is_keep_alive_due:
            return
        repeated = islice(served, receiver.repeat_position, None)
        changed.extend(islice(repeated, REPEATED_ACCOUNTS))
        receiver.repeat_position += REPEATED_ACCOUNTS
        if receiver.repeat_position >= len(served):
            receiver.repeat_position = 0
        receiver.sent_at = now
        receiver.sent = dict(served)
        self.scope.send(vm, exchange_message(allocator, set(changed)))


def exchange_message(
    allocator: PoolAllocator,
    accounts: set[AccountId],
) -> CounterExchange:
    """Totals of some accounts of one pool."""
    totals = allocator.totals
    served = totals.served_in(allocator.pool)
    return CounterExchange(
        service=allocator.service,
        pool=allocator.pool,
        epoch=allocator.epoch,
        floor=totals.current_floor(),
        totals=tuple(
            AccountTotal(account, served[account], totals.time_of(account))
            for account in sorted(accounts)
        ),
    )
