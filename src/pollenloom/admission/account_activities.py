"""What the client accounts asked and got of one service within a period."""

from collections import defaultdict
from heapq import nlargest

from pollenloom.admission.account_activity import AccountActivity
from pollenloom.admission.refusal_cause import RefusalCause
from pollenloom.admission.share_class import ShareClass
from pollenloom.admission.ticket import Ticket
from pollenloom.admission.waiting_ticket import WaitingTicket
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

    def record_refused(self, ticket: Ticket, cause: RefusalCause) -> None:
        """Count a request that is refused."""
        activity = self.accounts[ticket.account]
        activity.refused += 1
        if cause is RefusalCause.BEYOND_SHARE:
            activity.beyond += ticket.cost_hint
        else:
            activity.no_room += ticket.cost_hint

    def record_begun(self, waiting: WaitingTicket, now: float) -> None:
        """Count a request whose first byte arrived."""
        ticket = waiting.ticket
        activity = self.accounts[ticket.account]
        activity.begun += ticket.cost_hint
        if ticket.retry:
            activity.repeated += ticket.cost_hint
        if waiting.share_class is not ShareClass.WITHIN:
            activity.surplus += ticket.cost_hint
        self.record_waited(ticket.account, is_late=waiting.is_late(now))

    def record_not_begun(self, waiting: WaitingTicket, now: float) -> None:
        """Count a request that was sent and ended without a first byte."""
        ticket = waiting.ticket
        self.accounts[ticket.account].not_begun += ticket.cost_hint
        self.record_waited(ticket.account, is_late=waiting.is_late(now))

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
