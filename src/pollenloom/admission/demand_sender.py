"""Sends demand and settlements to pool owners."""

import asyncio
from collections.abc import Iterator, Sequence

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.messages import (
    AccountDemand,
    Demand,
    SettledGrant,
    WaitingHead,
)
from pollenloom.admission.pool_link import (
    MAX_REPORTED_WAITING,
    OpenSettlement,
    PoolLink,
)
from pollenloom.admission.ticket import Ticket
from pollenloom.admission.waiting_queue import WaitingRequest
from pollenloom.admission.waiting_queues import WaitingQueues
from pollenloom.core.ids import AccountId, PoolId

REPEAT_SECONDS = 0.25
# Keeps the repeated demand below 200 messages/s at an owner.
REPEAT_SECONDS_PER_ROUTER = 0.005
RESEND_SECONDS = 2.0
# Lengths of the prefixes that are sent to owners, in chunks. Since they are
# fixed, prompts that share a prefix have these in common, whatever follows.
SENT_PREFIX_LENGTHS = (1, 2, 4, 8, 16)


class DemandSender:
    """Keeps a link to the owner of each pool and sends it the changes.

    Attributes:
        links: Link of each pool, also of removed ones.
        pools_to_flush: Pools whose changes are sent in the next iteration of
            the event loop.
    """

    def __init__(self, scope: AdmissionScope, queues: WaitingQueues) -> None:
        self.scope = scope
        self.queues = queues
        self.links: dict[PoolId, PoolLink] = {}
        self.pools_to_flush: set[PoolId] = set()

    def refresh(self) -> None:
        """Switch to new owners and withdraw demand from removed pools."""
        for pool, owner in self.scope.owners.items():
            link = self.link(pool)
            if link.owner != owner:
                link.switch_owner(owner, self.accounts_for(link))
                self.flush_soon(pool)
        for removed in self.links.keys() - self.scope.pool_map.pools.keys():
            self.withdraw_demand(self.links[removed])

    def link(self, pool: PoolId) -> PoolLink:
        """Return the link of a pool; create it if needed."""
        link = self.links.get(pool)
        if link is None:
            owner = self.scope.owners.get(pool, self.scope.local_vm)
            link = PoolLink(pool, owner)
            self.links[pool] = link
        return link

    def withdraw_demand(self, link: PoolLink) -> None:
        """Stop reporting demand for a removed pool.

        The link is kept, since its owner still needs the settlements, and
        sequence numbers must not restart if the pool is added again.
        """
        link.reported.clear()
        link.changed.clear()
        if link.owner not in self.scope.routers():
            link.settlements.clear()

    def report_settlement(self, pool: PoolId, settled: SettledGrant) -> None:
        """Send a settlement, repeatedly until the owner acknowledges it."""
        link = self.link(pool)
        link.settlements[settled.grant_id] = OpenSettlement(settled)
        link.changed.add(settled.account)
        self.flush_soon(pool)

    def mark(self, pool: PoolId, account: AccountId) -> None:
        """Mark the demand of an account for a pool as possibly changed."""
        self.link(pool).changed.add(account)

    def mark_all_pools(self, ticket: Ticket) -> None:
        """Mark the demand of an account as changed for all pools."""
        for pool in self.scope.pools_of(ticket.service):
            self.mark(pool.pool, ticket.account)

    def tick(self, now: float) -> None:
        """Repeat demand and settlements that are due, on all links."""
        repeat_seconds = self.repeat_seconds()
        for link in tuple(self.links.values()):
            self.tick_link(link, now, repeat_seconds)

    def tick_link(
        self,
        link: PoolLink,
        now: float,
        repeat_seconds: float,
    ) -> None:
        """Repeat what may have been lost on the way to the owner."""
        if now - link.reported_at >= repeat_seconds:
            link.report_again(self.accounts_for(link))
            link.reported_at = now
        is_due = bool(link.due_settlements(now - RESEND_SECONDS))
        if link.changed or link.missed or is_due:
            self.flush_soon(link.pool)

    def repeat_seconds(self) -> float:
        """Seconds after which unchanged demand is reported again."""
        routers = len(self.scope.membership.members())
        return max(REPEAT_SECONDS, routers * REPEAT_SECONDS_PER_ROUTER)

    def accounts_for(self, link: PoolLink) -> set[AccountId]:
        """Return the accounts with requests announced to the link's pool."""
        pool = self.scope.pool_map.pools.get(link.pool)
        if pool is None:
            return set()
        return {
            waiting.ticket.account
            for waiting in self.queues.requests
            if waiting.ticket.service == pool.service
            and waiting.is_announced_to(link.pool)
        }

    def flush_soon(self, pool: PoolId) -> None:
        """Send changes in the next loop iteration, combined in one message."""
        if not self.pools_to_flush:
            asyncio.get_running_loop().call_soon(self.flush)
        self.pools_to_flush.add(pool)

    def flush(self) -> None:
        """Send the changes to the owners of the pools to flush."""
        pools = tuple(self.pools_to_flush)
        self.pools_to_flush.clear()
        for pool in pools:
            link = self.links.get(pool)
            if link is not None:
                self.flush_link(link, self.scope.now())

    def flush_link(self, link: PoolLink, now: float) -> None:
        """Send one message with changed demand and open settlements."""
        accounts = tuple(self.changed_demand(link, now))
        due = link.due_settlements(now - RESEND_SECONDS)
        if not accounts and not due and not link.missed:
            return
        link.sequence += 1
        for sent in due:
            sent.sequence = link.sequence
            sent.sent_at = now
        demand = Demand(
            pool=link.pool,
            stream=self.scope.stream,
            sequence=link.sequence,
            acknowledged=link.received,
            missed=link.missed,
            accounts=accounts,
            settled=tuple(settlement.settled for settlement in due),
        )
        link.missed = False
        self.scope.send(link.owner, demand)

    def changed_demand(
        self,
        link: PoolLink,
        now: float,
    ) -> Iterator[AccountDemand]:
        """Yield the demand that differs from what the owner knows."""
        pool = self.scope.pool_map.pools.get(link.pool)
        changed = sorted(link.changed)
        link.changed.clear()
        if pool is None:
            return
        for account in changed:
            queue = self.queues.find(pool.service, account)
            waiting = [
                request
                for request in queue
                if request.is_announced_to(link.pool)
            ]
            if not link.needs_report(account, len(waiting)):
                continue
            link.reported[account] = len(waiting)
            yield AccountDemand(
                account, len(waiting), describe_heads(waiting, now)
            )


def sent_prefixes(hashes: tuple[int, ...]) -> tuple[int, ...]:
    """Return the prefixes that are sent to owners, longest last."""
    return tuple(
        hashes[length - 1]
        for length in SENT_PREFIX_LENGTHS
        if length <= len(hashes)
    )


def describe_heads(
    waiting: Sequence[WaitingRequest],
    now: float,
) -> tuple[WaitingHead, ...]:
    """Describe the first waiting requests of a queue."""
    return tuple(
        WaitingHead(
            hint=request.ticket.cost_hint,
            age=now - request.since,
            retry=request.ticket.retry,
            prefixes=sent_prefixes(request.ticket.prefix_hashes),
            excluded=tuple(sorted(request.ticket.excluded)),
        )
        for request in waiting[:MAX_REPORTED_WAITING]
    )
