"""Weighted fair order of the accounts that wait for one pool."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.core.ids import AccountId, ServerId, VmId


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """What the owner knows of a waiting request.

    Attributes:
        since: When it began to wait, monotonic seconds of the owner.
        hint: Cost hint.
        retry: Whether it was sent before.
        prefixes: Hashes of growing prompt prefixes, longest last.
        excluded: Servers that it must not go to.
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
        waiting: How many.
        heads: The first of them; may be fewer than `waiting`.
    """

    waiting: int
    heads: deque[PendingRequest] = field(default_factory=deque)

    def sort_key(self) -> tuple[bool, float]:
        """Retries come first, then the request that waits longest."""
        if not self.heads:
            return True, float('inf')
        return not self.heads[0].retry, self.heads[0].waiting_since


class FairQueue:
    """Demand of all routers, ordered by the accounts' virtual time.

    With `fair` off the account of the request that waits longest is first,
    for comparison.
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
        """Set what waits on one router for one account."""
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
        """Forget what waits on one router for one account."""
        routers = self.backlog.get(account)
        if routers is None:
            return
        routers.pop(router, None)
        if not routers:
            self.backlog.pop(account)
            self.totals.remove_backlogged_pool(account)

    def remove_router(self, router: VmId) -> None:
        """Forget all that waits on one router."""
        for account in tuple(self.backlog):
            self.remove(account, router)

    def clear(self) -> None:
        """Forget all demand."""
        for account in tuple(self.backlog):
            self.backlog.pop(account)
            self.totals.remove_backlogged_pool(account)

    def accounts(self) -> Iterator[AccountId]:
        """Backlogged accounts, the one to be served next first."""
        if not self.backlog:
            return
        # Almost always the first account is taken; sort only for the rest.
        first = min(self.backlog, key=self.sort_key)
        yield first
        for account in sorted(self.backlog, key=self.sort_key):
            if account != first:
                yield account

    def sort_key(self, account: AccountId) -> tuple[float, AccountId]:
        """Sort key of an account."""
        if self.fair:
            return self.totals.time_of(account), account
        entries = self.backlog[account].values()
        return min(entry.sort_key()[1] for entry in entries), account

    def routers(self, account: AccountId) -> list[VmId]:
        """Routers with requests of an account, the next one first."""
        routers = self.backlog[account]
        return sorted(routers, key=lambda vm: (routers[vm].sort_key(), vm))

    def peek(self, account: AccountId, router: VmId) -> PendingRequest:
        """Next request of an account on a router."""
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
            # The rest is unknown until the router states its demand again.
            entry.heads.append(
                PendingRequest(
                    waiting_since=request.waiting_since, hint=request.hint
                )
            )
        if entry.waiting <= 0:
            self.remove(account, router)
        return request
