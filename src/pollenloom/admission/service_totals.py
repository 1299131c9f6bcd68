"""Fleet-wide served cost and virtual times of one service."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pollenloom.core.ids import AccountId, PoolId

# Owners send totals at least every second. A longer gap means a partition, and
# the cost served during it is not charged.
REBASE_GAP_SECONDS = 2.0


@dataclass(slots=True)
class PoolTotals:
    """Last known cumulative totals of one pool.

    Attributes:
        epoch: Fencing number of the owner that counted them.
        received_at: When they were last received, monotonic seconds.
        served: Served cost by account.
    """

    epoch: int = 0
    received_at: float = float('-inf')
    served: dict[AccountId, float] = field(default_factory=dict)


class ServiceTotals:
    """Virtual time of each account, from local service and exchanged totals.

    Virtual time grows by cost / share wherever the account is served. It is
    stored instead of computed from the totals, so that a new share does not
    change what was charged before. The lift of an account is the difference
    between its virtual time and its served cost / share.

    Attributes:
        shares: Share of each account.
        pools: Totals of each pool of the service.
        times: Virtual time of each account.
        floor: Smallest virtual time of backlogged accounts, or the last one.
        backlogged: In how many local pools each account is backlogged.
        entry_floors: Floor at which each account became backlogged.
        owns_pools: Whether this VM owns a pool of the service.
    """

    def __init__(self, shares: Mapping[AccountId, float]) -> None:
        self.shares = dict(shares)
        self.pools: dict[PoolId, PoolTotals] = {}
        self.times: dict[AccountId, float] = {}
        self.floor: float = 0
        self.backlogged: dict[AccountId, int] = {}
        self.entry_floors: dict[AccountId, float] = {}
        self.owns_pools = False

    def configure(self, shares: Mapping[AccountId, float]) -> None:
        """Apply new shares and remove accounts without one."""
        self.shares = dict(shares)
        for known in (self.times, self.entry_floors):
            for account in known.keys() - shares.keys():
                known.pop(account)
        for pool in self.pools.values():
            for removed in pool.served.keys() - shares.keys():
                pool.served.pop(removed)

    def time_of(self, account: AccountId) -> float:
        """Virtual time of an account; 0 if it was never served."""
        return self.times.get(account, 0)

    def served(self, account: AccountId) -> float:
        """Cost that all pools have served, as far as received."""
        return sum(pool.served.get(account, 0) for pool in self.pools.values())

    def served_in(self, pool: PoolId) -> dict[AccountId, float]:
        """Cost served in one pool, by account."""
        return self.pools.setdefault(pool, PoolTotals()).served

    def charge(self, pool: PoolId, account: AccountId, cost: float) -> None:
        """Charge cost in a local pool; a negative cost is a refund."""
        if account not in self.shares:
            return
        served = self.served_in(pool)
        served[account] = served.get(account, 0) + cost
        self.advance(account, cost)

    def add_backlogged_pool(self, account: AccountId) -> None:
        """Record that an account is backlogged in one more local pool.

        With the first pool its virtual time is raised to the floor, so that
        it gets no credit for idle time.
        """
        pools = self.backlogged.get(account, 0)
        if pools == 0:
            floor = self.current_floor()
            self.times[account] = max(self.time_of(account), floor)
            self.entry_floors[account] = floor
        self.backlogged[account] = pools + 1

    def remove_backlogged_pool(self, account: AccountId) -> None:
        """Record that an account is backlogged in one local pool less."""
        pools = self.backlogged.get(account, 0) - 1
        if pools > 0:
            self.backlogged[account] = pools
        else:
            self.backlogged.pop(account, None)

    def current_floor(self) -> float:
        """Smallest virtual time of backlogged accounts, or the last one.

        Without any, it is the largest virtual time: what was served from idle
        capacity must not hold an account back.
        """
        if self.backlogged:
            self.floor = min(map(self.time_of, self.backlogged))
        else:
            self.floor = max((self.floor, *self.times.values()))
        return self.floor

    def merge(
        self,
        pool: PoolId,
        epoch: int,
        served: Mapping[AccountId, float],
        now: float,
    ) -> None:
        """Apply the totals that the owner of another pool sent.

        Totals of a lower epoch are ignored. After a gap, or from another
        owner than before, the totals are stored but the accounts are not
        charged: that owner may have counted on the other side of a partition.
        """
        known = self.pools.setdefault(pool, PoolTotals())
        if epoch < known.epoch:
            return
        is_outdated = now - known.received_at > REBASE_GAP_SECONDS
        is_rebase = is_outdated or epoch > known.epoch
        known.received_at = now
        known.epoch = epoch
        for account, total in served.items():
            if account not in self.shares:
                continue
            growth = total - known.served.get(account, 0)
            known.served[account] = total
            if not is_rebase:
                self.advance(account, growth)

    def restore(
        self,
        times: Mapping[AccountId, float],
        floor: float,
    ) -> None:
        """Continue with the virtual times and floor of another owner."""
        self.floor = floor
        for account, time in times.items():
            if account in self.shares:
                self.times[account] = time

    def advance(self, account: AccountId, cost: float) -> None:
        """Advance an account's virtual time by a cost.

        A refund does not reduce it below the floor at which the account became
        backlogged, since that would be credit for idle time.
        """
        before = self.time_of(account)
        after = before + cost / self.shares[account]
        if cost < 0 and account in self.backlogged:
            after = max(after, min(before, self.entry_floors[account]))
        self.times[account] = after
