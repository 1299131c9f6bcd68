"""Router side of admission: waiting requests and grants in use."""

import asyncio
from dataclasses import dataclass

from absl import logging

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.demand_sender import DemandSender
from pollenloom.admission.grant import Grant
from pollenloom.admission.messages import (
    GrantedSlot,
    Grants,
    NewerOwner,
    NotOwner,
    ReportedGrant,
    ReportRequest,
    SettledGrant,
    TakeoverReport,
)
from pollenloom.admission.pause_detector import PauseDetector
from pollenloom.admission.pool_link import (
    PoolLink,
)
from pollenloom.admission.settled_grants import SettledGrants
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.waiting_queue import WaitingRequest
from pollenloom.admission.waiting_queues import WaitingQueues
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import GrantId, VmId
from pollenloom.core.states import Outcome

GRANT_VALIDITY_SECONDS = 0.5
# Wait after which a request is announced to all pools of its service.
ANNOUNCE_TO_ALL_SECONDS = 0.02
# A longer time without a tick counts as a pause. Above the longest regular time
# between two ticks, below the validity of a grant.
PAUSE_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class GrantInUse:
    """A grant that a request of this router holds, with its cost hint."""

    grant: Grant
    hint: float


class GrantClient:
    """Reports demand to pool owners and binds their grants to requests.

    Attributes:
        queues: Waiting requests.
        in_use: Grants bound to requests and not settled.
        settled: Recent settlements, for checks by pool owners.
        events: Events that wake the waiting requests.
        request_arrived: Set when a request was announced.
    """

    def __init__(self, scope: AdmissionScope) -> None:
        self.scope = scope
        self.queues = WaitingQueues()
        self.sender = DemandSender(scope, self.queues)
        self.in_use: dict[GrantId, GrantInUse] = {}
        self.settled = SettledGrants()
        self.events: dict[WaitingRequest, asyncio.Event] = {}
        self.request_arrived = asyncio.Event()
        self.pause_detector = PauseDetector(PAUSE_SECONDS)

    def refresh(self) -> None:
        """Apply changes of owners and pools.

        Requests whose home pool was removed are announced to all pools.
        """
        pools = self.scope.pool_map.pools
        for waiting in self.queues.requests:
            if waiting.home not in pools:
                waiting.announced_to_all = True
            self.sender.mark_all_pools(waiting.ticket)
        self.sender.refresh()

    def announce(self, waiting: WaitingRequest) -> asyncio.Event:
        """Announce a queued request to the owner of its home pool.

        The returned event is set when the request got a grant, or when the
        client is closed.
        """
        event = asyncio.Event()
        self.events[waiting] = event
        self.queues.requests[waiting] = None
        self.sender.mark(waiting.home, waiting.ticket.account)
        self.sender.flush_soon(waiting.home)
        self.request_arrived.set()
        return event

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Remove a request and release its grant, if it got one."""
        self.queues.remove(waiting)
        self.events.pop(waiting, None)
        self.sender.mark_all_pools(waiting.ticket)
        grant = waiting.grant
        waiting.grant = None
        if grant is not None:
            self.settle(Settlement(grant=grant, outcome=Outcome.UNUSED))

    def take_grant(self, waiting: WaitingRequest) -> Grant | None:
        """Return the grant of a request; None if it has none or it expired.

        An expired grant is released.
        """
        now = self.scope.now()
        self.check_pause(now)
        grant = waiting.grant
        if grant is None or not grant.is_expired(now):
            self.events.pop(waiting, None)
            return grant
        self.withdraw(waiting)
        return None

    def close(self) -> None:
        """Wake all waiting requests, also those without a grant."""
        for event in self.events.values():
            event.set()

    def settle(self, settlement: Settlement) -> None:
        """Report the use of a grant to the owner of the server's pool."""
        grant = settlement.grant
        in_use = self.in_use.pop(grant.grant_id, None)
        if in_use is None:
            logging.error('grant_settled_twice %s', grant.grant_id)
            return
        server = grant.server.server
        settled = SettledGrant(
            grant_id=grant.grant_id,
            account=grant.account,
            server=server,
            outcome=settlement.outcome,
            charged=grant.charged,
            hint=in_use.hint,
            cost=settlement.cost,
            first_byte_seconds=settlement.first_byte_seconds,
            server_cold=settlement.server_cold,
            server_leaving=settlement.server_leaving,
            route=grant.route,
            duration_seconds=settlement.duration_seconds,
            server_fenced=settlement.server_fenced,
        )
        self.settled.add(settled, self.scope.now())
        pool = self.scope.pool_map.pool_of.get(server, grant.pool)
        self.sender.report_settlement(pool, settled)

    def on_grants(self, sender: VmId, message: Grants) -> None:
        """Bind grants to the first requests in the queues, or release them."""
        now = self.scope.now()
        self.check_pause(now)
        pool = message.pool
        if message.stream != self.scope.stream:
            # Meant for an earlier run of this router; its grants are released
            # by the owner.
            return
        if not self.scope.epochs.observe(pool, message.epoch, sender):
            newest = self.scope.epochs.current(pool).epoch
            self.scope.send(sender, NewerOwner(pool, newest))
            return
        link = self.sender.link(pool)
        if not link.receive(message.epoch, message.sequence):
            return
        link.acknowledge(message.acknowledged)
        for slot in message.slots:
            self.on_slot(link, slot, message, now)
        for grant_id in message.check:
            self.on_check(link, grant_id)

    def on_slot(
        self,
        link: PoolLink,
        slot: GrantedSlot,
        message: Grants,
        now: float,
    ) -> None:
        """Bind one grant to the next request, or release it."""
        reported = link.reported.get(slot.account, 0)
        link.reported[slot.account] = max(0, reported - 1)
        server = self.scope.pool_map.servers.get(slot.server)
        is_fresh = message.acknowledged >= link.valid_from_sequence
        waiting = None
        if server is not None and is_fresh:
            waiting = self.queues.take(server, slot.account, now)
        if server is None or waiting is None:
            is_unusable = server is None or self.has_waiting(server, slot)
            self.sender.report_settlement(
                link.pool, unused_settlement(slot, unusable=is_unusable)
            )
            return
        grant = Grant(
            grant_id=slot.grant_id,
            pool=link.pool,
            account=slot.account,
            route=waiting.ticket.route,
            server=server,
            epoch=message.epoch,
            expires_at=now + GRANT_VALIDITY_SECONDS,
            charged=slot.charged,
        )
        hint = waiting.ticket.cost_hint
        self.in_use[slot.grant_id] = GrantInUse(grant, hint)
        self.sender.mark_all_pools(waiting.ticket)
        waiting.grant = grant
        self.events[waiting].set()

    def has_waiting(self, server: BackendServer, slot: GrantedSlot) -> bool:
        """Whether the account has requests waiting for the server's service."""
        return len(self.queues.find(server.service, slot.account)) > 0

    def on_check(self, link: PoolLink, grant_id: GrantId) -> None:
        """Report the settlement of a grant that the owner counts as in use."""
        if grant_id in self.in_use:
            return
        self.sender.report_settlement(link.pool, self.settled.find(grant_id))

    def on_report_request(self, sender: VmId, message: ReportRequest) -> None:
        """Report to a new owner which grants are in use on its servers."""
        epochs = self.scope.epochs
        seen = message.epoch - 1
        if message.takeover:
            seen = epochs.fence(message.pool, message.epoch, sender)
        servers = set(message.servers)
        held = tuple(
            ReportedGrant(
                in_use.grant.grant_id,
                in_use.grant.account,
                in_use.grant.server.server,
                in_use.grant.charged,
            )
            for in_use in self.in_use.values()
            if in_use.grant.server.server in servers
        )
        stream = self.scope.stream
        report = TakeoverReport(message.pool, stream, seen, held)
        self.scope.send(sender, report)

    def on_not_owner(self, sender: VmId, message: NotOwner) -> None:
        """Report the demand again later, once the VMs agree on the owner."""
        link = self.sender.link(message.pool)
        if link.owner == sender:
            link.reported_at = self.scope.now()
            link.report_again(self.sender.accounts_for(link))
            link.changed.clear()

    def check_pause(self, now: float) -> None:
        """After a pause of this process, reject grants made before it."""
        if not self.pause_detector.check_resumed(now):
            return
        for link in self.sender.links.values():
            link.valid_from_sequence = link.sequence + 1
            link.report_again(self.sender.accounts_for(link))

    def tick(self) -> None:
        """Announce long waiting requests to all pools; send what is due."""
        now = self.scope.now()
        self.check_pause(now)
        self.settled.remove_expired(now)
        for waiting in self.queues.requests:
            if (
                not waiting.announced_to_all
                and now - waiting.since >= ANNOUNCE_TO_ALL_SECONDS
            ):
                waiting.announced_to_all = True
                self.sender.mark_all_pools(waiting.ticket)
        self.sender.tick(now)


def unused_settlement(slot: GrantedSlot, *, unusable: bool) -> SettledGrant:
    """Return the settlement of a grant that no request could use."""
    return SettledGrant(
        grant_id=slot.grant_id,
        account=slot.account,
        server=slot.server,
        outcome=Outcome.UNUSED,
        charged=slot.charged,
        unusable=unusable,
    )
