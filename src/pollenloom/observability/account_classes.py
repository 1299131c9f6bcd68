"""Classes of client accounts in metrics."""

from collections import defaultdict
from heapq import nlargest
from typing import Final

from pollenloom.configuration.configuration import Configuration
from pollenloom.core.ids import AccountId, Revision

# With 2,600 client accounts, 5 models and 3 histograms of about 15 buckets,
# one label value for each account would make half a million series per router.
NAMED_ACCOUNTS: Final = 32
OTHER_ACCOUNTS: Final = 'other'


class AccountClasses:
    """Maps accounts to values of the label `account_class`.

    Accounts with the largest shares are named; all others share one class.

    Attributes:
        revision: Configuration revision that the classes are from.
        named: Accounts with a class of their own.
    """

    def __init__(self, named_accounts: int = NAMED_ACCOUNTS) -> None:
        self.named_accounts = named_accounts
        self.revision = Revision(0)
        self.named: frozenset[AccountId] = frozenset()

    def update(self, configuration: Configuration) -> frozenset[AccountId]:
        """Apply a configuration; return the accounts no longer named."""
        if configuration.revision == self.revision:
            return frozenset()
        self.revision = configuration.revision
        shares = largest_shares(configuration)
        # Ties are broken by name, so that all routers agree.
        named = frozenset(
            nlargest(
                self.named_accounts,
                shares,
                key=lambda account: (shares[account], account),
            )
        )
        dropped = self.named - named
        self.named = named
        return dropped

    def class_of(self, account: AccountId) -> str:
        """Return the label value of a client account."""
        return account if account in self.named else OTHER_ACCOUNTS


def largest_shares(configuration: Configuration) -> dict[AccountId, float]:
    """Return for each account its largest fraction of any service."""
    shares: defaultdict[AccountId, float] = defaultdict(float)
    for service in configuration.services.values():
        total = sum(account.share for account in service.accounts)
        for account in service.accounts:
            part = account.share / total
            shares[account.name] = max(shares[account.name], part)
    return dict(shares)
