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
# With many receivers of a pool's totals, the interval is this long for each of
# them. Keeps one owner below 40 exchange messages a second each way.
SECONDS_PER_RECEIVER = 0.03
# Less than half of the gap that counts as a partition.
KEEP_ALIVE_SECONDS = 0.9
# Accounts that each message repeats in turn, changed or not, to make up for
# lost messages.
REPEATED_ACCOUNTS = 4


@dataclass(slots=True)
class HandoverState:
    """Virtual times that the next owner of a pool continues with.

    Attributes:
        floor: Floor of the current owner.
        times: Virtual time by account.
    """

    floor: float = 0
    times: dict[AccountId, float] = field(default_factory=dict)


@dataclass(slots=True)
class ReceiverState:
    """Totals of one pool that one VM was sent.

    Attributes:
        sent_at: When the last message was sent, monotonic seconds.
        sent: Served cost by account, as last sent.
        repeat_position: Index of the next account to repeat.
    """

    sent_at: float = float('-inf')
    sent: dict[AccountId, float] = field(default_factory=dict)
    repeat_position: int = 0


ReceiverKey = tuple[PoolId, VmId | None]


class TotalsExchange:
    """Sends totals of local pools and applies those of other owners.

    Attributes:
        scope: State shared with the router side.
        services: Totals by service.
        handover_states: Virtual times of pools of other owners, kept in case
            this VM takes them over.
        receivers: What each VM was sent about each pool.
        announced_epochs: Epochs in which starting totals were announced.
        exchanged_at: When totals were last sent, monotonic seconds.
        interval_seconds: Current interval between exchanges.
    """

    def __init__(self, scope: AdmissionScope) -> None:
        self.scope = scope
        self.services: dict[ServiceId, ServiceTotals] = {}
        self.handover_states: dict[PoolId, HandoverState] = {}
        self.receivers: dict[ReceiverKey, ReceiverState] = {}
        self.announced_epochs: dict[PoolId, int] = {}
        self.exchanged_at: float = 0
        self.interval_seconds = EXCHANGE_SECONDS

    def refresh(self) -> None:
        """Apply the shares in force and remove receivers that have left."""
        for service, totals in self.services.items():
            totals.configure(self.scope.shares(service))
        live = set(self.scope.routers())
        for key in tuple(self.receivers):
            if key[1] not in live:
                self.receivers.pop(key)

    def totals(self, service: ServiceId) -> ServiceTotals:
        """Return the totals of a service, created at the first call."""
        known = self.services.get(service)
        if known is None:
            known = ServiceTotals(self.scope.shares(service))
            self.services[service] = known
        return known

    def take_over(self, pool: Pool) -> ServiceTotals:
        """Take over a pool with the virtual times of its former owner.

        If this VM owns another pool of the service, it keeps its own virtual
        times.
        """
        totals = self.totals(pool.service)
        handover = self.handover_states.pop(pool.pool, None)
        if handover is not None and not totals.owns_pools:
            totals.restore(handover.times, handover.floor)
        totals.owns_pools = True
        return totals

    def receive(self, message: CounterExchange, now: float) -> None:
        """Charge the cost served in another pool.

        If this VM owns no pool of the service, it also keeps the virtual times
        for a takeover.
        """
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
        """Send totals if the exchange interval has passed."""
        if now - self.exchanged_at < self.interval_seconds:
            return
        self.exchanged_at = now
        max_receivers = 0
        for pool, allocator in allocators.items():
            receivers = self.receivers_of(pool)
            max_receivers = max(max_receivers, len(receivers))
            for vm in receivers:
                self.send(vm, allocator, now)
        self.interval_seconds = max(
            EXCHANGE_SECONDS, max_receivers * SECONDS_PER_RECEIVER
        )

    def send_all(self, allocator: PoolAllocator) -> None:
        """Send the last totals of a pool on its release.

        The new owner gets all accounts, other owners the changed ones.
        """
        pool = allocator.pool
        now = self.scope.now()
        self.receivers.pop((pool, self.scope.owners.get(pool)), None)
        for vm in self.receivers_of(pool):
            self.send(vm, allocator, now)

    def announce_starting_totals(
        self, allocator: PoolAllocator, now: float
    ) -> None:
        """Send the totals at which a new owner starts to the other owners.

        Receivers do not charge accounts for the first totals of an owner, so
        these are sent before it gives any grant.
        """
        pool = allocator.pool
        if self.announced_epochs.get(pool) == allocator.epoch:
            return
        self.announced_epochs[pool] = allocator.epoch
        for vm in self.receivers_of(pool):
            self.receivers.pop((pool, vm), None)
            self.send(vm, allocator, now)

    def receivers_of(self, pool_id: PoolId) -> list[VmId]:
        """Owners of the service's other pools, and the likely successor."""
        pool = self.scope.pool_map.pools.get(pool_id)
        if pool is None:
            return []
        owners = self.scope.owners
        pools = self.scope.pool_map.by_service[pool.service]
        receivers = {owners[known.pool] for known in pools}
        receivers.update(self.scope.successor_vms(pool))
        receivers.discard(self.scope.local_vm)
        return sorted(receivers)

    def send(self, vm: VmId, allocator: PoolAllocator, now: float) -> None:
        """Send a VM the totals that changed since its last message.

        Without changes nothing is sent until the keep-alive interval ends.
        """
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
    """Return the message with the totals of some accounts of a pool."""
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
