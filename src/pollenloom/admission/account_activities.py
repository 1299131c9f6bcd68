"""What the client accounts asked and got of one service within a period."""

from collections import defaultdict
from heapq import nlargest

from pollenloom.admission.account_activity import AccountActivity
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId


class AccountActivities:
    """Activity of each account of one service at one router.

    Attributes:
        accounts: Activity by account.
    """

    def __init__(self) -> None:
        self.accounts: dict[AccountId, AccountActivity] = defaultdict(
            AccountActivity
        )

    def record_asked(self, ticket: Ticket) -> None:
        """Count a request that came in, unless it was sent before."""
        if ticket.retry:
            return
        activity = self.accounts[ticket.account]
        activity.asked += ticket.cost_hint
        activity.largest = max(activity.largest, ticket.cost_hint)

    def record_sent(self, ticket: Ticket) -> None:
        """Count a request that is sent to a server."""
        self.accounts[ticket.account].sent += ticket.cost_hint

    def record_refused(self, account: AccountId) -> None:
        """Count a request that is refused."""
        self.accounts[account].refused += 1

    def record_begun(
        self, account: AccountId, cost: float, *, is_late: bool
    ) -> None:
        """Count a request whose first byte arrived."""
        self.accounts[account].begun += cost
        self.record_waited(account, is_late=is_late)

    def record_waited(self, account: AccountId, *, is_late: bool) -> None:
        """Count a request whose wait has ended, if it was too long."""
        if is_late:
            self.accounts[account].late += 1

    def named(self) -> list[AccountId]:
        """Return the accounts; requests on public routes have none."""
        return [account for account in self.accounts if account]

    def largest(self, limit: int) -> dict[AccountId, AccountActivity]:
        """Return the accounts that asked for most, at most `limit`."""
        most_asked = nlargest(
            limit,
            self.named(),
            key=lambda account: self.accounts[account].asked,
        )
        return {account: self.accounts[account] for account in most_asked}
