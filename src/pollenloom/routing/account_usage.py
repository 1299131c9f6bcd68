"""Recent usage of client accounts over the fleet."""

import math
from heapq import nlargest
from typing import TYPE_CHECKING, Final

from pollenloom.core.ids import AccountId

if TYPE_CHECKING:
    from collections.abc import Mapping

# Time constant of the decay. An account that got more than its share, from idle
# capacity or before capacity fell, is held back for up to about twice this
# time; with 4 s it got nothing for six seconds.
DECAY_SECONDS: Final = 1.0
# Accounts whose decayed cost is not larger than this are dropped. Requests of
# services that count calls cost 1 each, and a router may get few of them.
SMALLEST_USAGE: Final = 0.05
# Costs below this are reported with fractions, others as whole numbers, which
# take less space in a report.
MIN_WHOLE_COST: Final = 20.0
FRACTION_DIGITS: Final = 2
# Accounts in one report to other routers, those with the largest usage.
MAX_REPORTED_ACCOUNTS: Final = 200


class AccountUsage:
    """Decaying cost served by this router and by other routers.

    Attributes:
        local: Cost served by this router, as of `decayed_at`.
        remote: Cost served by other routers, from their reports.
        decayed_at: Monotonic seconds of the latest decay.
    """

    def __init__(self) -> None:
        self.local: dict[AccountId, float] = {}
        self.remote: Mapping[AccountId, float] = {}
        self.decayed_at = float('-inf')

    def charge(self, account: AccountId, cost: float, now: float) -> None:
        """Add the cost of a request that is sent."""
        self.decay(now)
        self.local[account] = self.local.get(account, 0) + cost

    def refund(
        self, account: AccountId, cost: float, charged_at: float, now: float
    ) -> None:
        """Take back what is left of a charge for a request that did not run.

        Args:
            account: The account.
            cost: The cost that was charged.
            charged_at: Monotonic seconds of the charge.
            now: Monotonic seconds.
        """
        self.decay(now)
        left = cost * math.exp(-max(0, now - charged_at) / DECAY_SECONDS)
        usage = self.local.get(account, 0) - left
        self.local[account] = max(0, usage)

    def total(self, account: AccountId) -> float:
        """Return the usage over the fleet, as of the latest decay."""
        return self.local.get(account, 0) + self.remote.get(account, 0)

    def totals(self, now: float) -> dict[AccountId, float]:
        """Return the usage of all accounts over the fleet."""
        self.decay(now)
        return {
            account: self.total(account)
            for account in self.local.keys() | self.remote.keys()
        }

    def decay(self, now: float) -> None:
        """Decay the local cost for the time since the latest decay."""
        elapsed = now - self.decayed_at
        self.decayed_at = now
        factor = math.exp(-max(0, elapsed) / DECAY_SECONDS)
        self.local = {
            account: usage * factor
            for account, usage in self.local.items()
            if usage * factor > SMALLEST_USAGE
        }

    def largest_usages(self, now: float) -> dict[AccountId, float]:
        """Return the largest local usages, rounded, for a load report."""
        self.decay(now)
        most_used = nlargest(
            MAX_REPORTED_ACCOUNTS,
            self.local,
            key=self.local.__getitem__,
        )
        return {
            account: rounded_cost(self.local[account]) for account in most_used
        }


def rounded_cost(cost: float) -> float:
    """Return a cost as it is reported to other routers."""
    if cost >= MIN_WHOLE_COST:
        return round(cost)
    return round(cost, FRACTION_DIGITS)
