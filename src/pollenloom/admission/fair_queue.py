"""Weighted fair queue of the accounts with requests for one pool."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.core.ids import AccountId, ServerId, VmId


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A waiting request as the pool owner knows it.

    Attributes:
        waiting_since: When it began to wait, monotonic seconds of the owner.
        hint: Cost hint.
        retry: Whether the request was sent to a server before.
        prefixes: Hashes of growing prompt prefixes, longest last.
        excluded: Servers that the request must not go to.
    """

    waiting_since: float
    hint: float
    retry: bool = False
    prefixes: tuple[int, ...] = ()
    excluded: frozenset[ServerId] = frozenset()


@dataclass(slots=True)
class RouterBacklog:
    """Requests of one account that wait on one router.

    Attributes:
        waiting: Number of requests.
        heads: The first requests in order; may be fewer than `waiting`.
    """

    waiting: int
    heads: deque[PendingRequest] = field(default_factory=deque)

    def sort_key(self) -> tuple[bool, float]:
        """Sort retries first, then by the time of waiting, longest first."""
        if not self.heads:
            return True, float('inf')
        return not self.heads[0].retry, self.heads[0].waiting_since


class FairQueue:
    """Demand of all routers, ordered by the accounts' virtual time.

    With `fair` off, the account whose request has waited longest comes
    first. This serves as the baseline in comparisons.
    """

    def __init__(self, totals: ServiceTotals, *, fair: bool = True) -> None:
        self.totals = totals
        self.fair = fair
        self.backlog: dict[AccountId, dict[VmId, RouterBacklog]] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait on all routers."""
        return sum(map(self.waiting_of, self.backlog))

    def waiting_of(self, account: AccountId) -> int:
        """Requests of one account that wait on all routers."""
        routers = self.backlog.get(account, {})
        return sum(entry.waiting for entry in routers.values())

    def replace(
        self,
        account: AccountId,
        router: VmId,
        entry: RouterBacklog,
    ) -> None:
        """Set the backlog of one account on one router.

        Accounts without a share are ignored.
        """
        if account not in self.totals.shares:
            return
        routers = self.backlog.get(account)
        if entry.waiting <= 0:
            self.remove(account, router)
        elif routers is None:
            self.totals.add_backlogged_pool(account)
            self.backlog[account] = {router: entry}
        else:
            routers[router] = entry

    def remove(self, account: AccountId, router: VmId) -> None:
        """Remove the backlog of one account on one router."""
        routers = self.backlog.get(account)
        if routers is None:
            return
        routers.pop(router, None)
        if not routers:
            self.backlog.pop(account)
            self.totals.remove_backlogged_pool(account)

    def remove_router(self, router: VmId) -> None:
        """Remove the backlogs of all accounts on one router."""
        for account in tuple(self.backlog):
            self.remove(account, router)

    def clear(self) -> None:
        """Remove the backlogs of all routers."""
        for account in tuple(self.backlog):
            self.backlog.pop(account)
            self.totals.remove_backlogged_pool(account)

    def accounts(self) -> Iterator[AccountId]:
        """Backlogged accounts, the one to be served next first."""
        if not self.backlog:
            return
        # Callers rarely need more than the first account, so the accounts are
        # sorted only when they ask for the next one.
        first = min(self.backlog, key=self.sort_key)
        yield first
        for account in sorted(self.backlog, key=self.sort_key):
            if account != first:
                yield account

    def sort_key(self, account: AccountId) -> tuple[float, AccountId]:
        """Sort by virtual time, or by time of waiting with `fair` off."""
        if self.fair:
            return self.totals.time_of(account), account
        entries = self.backlog[account].values()
        return min(entry.sort_key()[1] for entry in entries), account

    def routers(self, account: AccountId) -> list[VmId]:
        """Routers with requests of an account, the next one first."""
        routers = self.backlog[account]
        return sorted(routers, key=lambda vm: (routers[vm].sort_key(), vm))

    def peek(self, account: AccountId, router: VmId) -> PendingRequest:
        """Return the next request of an account on a router.

        If the router has not described it, defaults stand for it.
        """
        entry = self.backlog[account][router]
        if entry.heads:
            return entry.heads[0]
        return PendingRequest(waiting_since=float('inf'), hint=1)

    def pop(self, account: AccountId, router: VmId) -> PendingRequest:
        """Remove and return the next request of an account on a router."""
        request = self.peek(account, router)
        entry = self.backlog[account][router]
        entry.waiting -= 1
        if entry.heads:
            entry.heads.popleft()
        if not entry.heads and entry.waiting > 0:
            # The next request is unknown until the router sends its demand
            # again; assume that it resembles the removed one.
            entry.heads.append(
                PendingRequest(
                    waiting_since=request.waiting_since, hint=request.hint
                )
            )
        if entry.waiting <= 0:
            self.remove(account, router)
        return request
