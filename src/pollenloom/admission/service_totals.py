"""Fleet-wide served cost and virtual times of one service."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pollenloom.core.ids import AccountId, PoolId

# An exchange is expected at least every second; a longer silence than this
# means a partition, and what was served meanwhile is not charged.
REBASE_GAP_SECONDS = 2.0


@dataclass(slots=True)
class PoolTotals:
    """Last known cumulative totals of one pool.

    Attributes:
        epoch: Fencing number of the owner that counted them.
        heard_at: When they were last heard, monotonic seconds.
        served: Cost by account.
    """

    epoch: int = 0
    received_at: float = float('-inf')
    served: dict[AccountId, float] = field(default_factory=dict)


class ServiceTotals:
    """Virtual time of each account, from own service and exchanged totals.

    Virtual time grows by cost / share wherever the account is served. It is
    stored instead of computed from the totals, so that a new share does not
    charge the past again. The lift of the design is the difference between
    virtual time and served cost / share.
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
        """Use new shares and forget accounts that are gone."""
        self.shares = dict(shares)
        for known in (self.times, self.entry_floors):
            for account in known.keys() - shares.keys():
                known.pop(account)
        for pool in self.pools.values():
            for removed in pool.served.keys() - shares.keys():
                pool.served.pop(removed)

    def time_of(self, account: AccountId) -> float:
        """Virtual time of an account."""
        return self.times.get(account, 0)

    def served(self, account: AccountId) -> float:
        """Cost served in all pools, as far as known."""
        return sum(pool.served.get(account, 0) for pool in self.pools.values())

    def served_in(self, pool: PoolId) -> dict[AccountId, float]:
        """Cost served in one pool, by account."""
        return self.pools.setdefault(pool, PoolTotals()).served

    def charge(self, pool: PoolId, account: AccountId, cost: float) -> None:
        """Count cost of an own pool; a negative cost is a refund."""
        if account not in self.shares:
            return
        served = self.served_in(pool)
        served[account] = served.get(account, 0) + cost
        self.advance(account, cost)

    def add_backlogged_pool(self, account: AccountId) -> None:
        """An account becomes backlogged: it gets no credit for idle time."""
        pools = self.backlogged.get(account, 0)
        if pools == 0:
            floor = self.current_floor()
            self.times[account] = max(self.time_of(account), floor)
            self.entry_floors[account] = floor
        self.backlogged[account] = pools + 1

    def remove_backlogged_pool(self, account: AccountId) -> None:
        """An account is no longer backlogged in one of the own pools."""
        pools = self.backlogged.get(account, 0) - 1
        if pools > 0:
            self.backlogged[account] = pools
        else:
            self.backlogged.pop(account, None)

    def current_floor(self) -> float:
        """Smallest virtual time of backlogged accounts, or the last one."""
        if self.backlogged:
            self.floor = min(map(self.time_of, self.backlogged))
        return self.floor

    def merge(
        self,
        pool: PoolId,
        epoch: int,
        served: Mapping[AccountId, float],
        now: float,
    ) -> None:
        """Take over the totals that the owner of another pool sent.

        Totals of a lower epoch are ignored. After a silence or from another
        owner the totals are noted without charging the accounts for them:
        that owner may have counted on the other side of a partition.
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
        """Continue with the virtual times of the predecessor."""
        self.floor = floor
        for account, time in times.items():
            if account in self.shares:
                self.times[account] = time

    def advance(self, account: AccountId, cost: float) -> None:
        """Move a virtual time by a cost.

        A refund does not go below the floor at which the account became
        backlogged, which would be credit for idle time.
        """
        before = self.time_of(account)
        after = before + cost / self.shares[account]
        if cost < 0 and account in self.backlogged:
            after = max(after, min(before, self.entry_floors[account]))
        self.times[account] = after
