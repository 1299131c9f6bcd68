"""What client accounts were served lately, over the fleet."""

import math
from heapq import nlargest
from typing import TYPE_CHECKING, Final

from pollenloom.core.ids import AccountId

if TYPE_CHECKING:
    from collections.abc import Mapping

# Shares are owed over a few seconds; what was served before is forgotten, so
# that idle time gives no credit and a burst is not held against an account.
MEMORY_SECONDS: Final = 4.0
SMALLEST_USAGE: Final = 1.0
# Accounts that are told to other routers at a time, those with most usage.
MOST_TOLD: Final = 200


class AccountUsage:
    """Cost served by this router, decaying, and by the others as told."""

    def __init__(self) -> None:
        self.own: dict[AccountId, float] = {}
        self.elsewhere: Mapping[AccountId, float] = {}
        self.counted_at = float('-inf')

    def charge(self, account: AccountId, cost: float, now: float) -> None:
        """Count cost of a request that is sent."""
        self.decay(now)
        self.own[account] = self.own.get(account, 0) + cost

    def total(self, account: AccountId) -> float:
        """Return the usage of an account, as of the latest decay."""
        return self.own.get(account, 0) + self.elsewhere.get(account, 0)

    def decay(self, now: float) -> None:
        """Let older cost lose weight."""
        passed = now - self.counted_at
        self.counted_at = now
        kept = math.exp(-max(0, passed) / MEMORY_SECONDS)
        self.own = {
            account: usage * kept
            for account, usage in self.own.items()
            if usage * kept > SMALLEST_USAGE
        }

    def told(self, now: float) -> dict[AccountId, float]:
        """Return what other routers are told of this one's usage."""
        self.decay(now)
        most_used = nlargest(MOST_TOLD, self.own, key=self.own.__getitem__)
        return {account: round(self.own[account]) for account in most_used}
