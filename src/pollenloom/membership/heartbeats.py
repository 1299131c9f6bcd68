"""Heartbeats, failure detection and gossip of one router."""

import asyncio
import random
from typing import TYPE_CHECKING

from pollenloom.core.states import MemberState
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.digest_comparison import DigestComparison
from pollenloom.membership.heartbeat_monitor import HeartbeatMonitor
from pollenloom.membership.member_table import (
    SUSPICION_TIMEOUT_SECONDS,
    precedence,
)
from pollenloom.membership.membership_messages import (
    Heartbeat,
    MemberDifferences,
    MemberExchange,
)
from pollenloom.membership.refusal_evaluator import RefusalEvaluator
from pollenloom.observability.event_log import EventLog
from pollenloom.peers.observable_peer_network import (
    LinkEvent,
    ObservablePeerNetwork,
)

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.membership.fleet_view import FleetView
    from pollenloom.membership.member import Member
    from pollenloom.membership.member_table import MemberTable

HEARTBEAT_SECONDS = 0.5
# Changes that arrive within this time are forwarded in one message.
COALESCE_SECONDS = 0.02
# Time to refute for a member whose host refuses connections.
REFUSED_SUSPICION_TIMEOUT_SECONDS = 0.5
# A timer later than this means that the process was stopped, not just busy.
MIN_FREEZE_SECONDS = 1
EXCHANGE_TIMEOUT_SECONDS = 2
# Bounds the cost when many routers join or reconnect at once.
MIN_EXCHANGE_INTERVAL_SECONDS = 1


class Heartbeats:
    """Runs the membership protocol on the links of one router.

    Attributes:
        recorded_states: Last state of each member in the event log.
        register_digest: Hash of the registers, sent with each heartbeat.
        next_exchange_at: Earliest start of an exchange, monotonic seconds.
        targets: VMs that got the previous heartbeat.
        changed: Wakes `run` to forward changes before the next heartbeat.
        next_heartbeat_at: Time of the next heartbeat, monotonic seconds.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        table: 'MemberTable',
        view: 'FleetView',
        peers: ObservablePeerNetwork,
    ) -> None:
        self.kernel = kernel
        self.table = table
        self.view = view
        self.peers = peers
        self.monitor = HeartbeatMonitor()
        self.refusals = RefusalEvaluator()
        self.recorded_states: dict[VmId, MemberState] = {}
        self.comparison = DigestComparison()
        self.register_digest = 0
        self.next_exchange_at: float = 0
        self.targets: frozenset[VmId] = frozenset()
        self.changed = asyncio.Event()
        self.next_heartbeat_at: float = 0

    def connect(self) -> None:
        """Subscribe to the messages and events of the peer network."""
        self.peers.subscribe(Heartbeat, self.heartbeat_received)
        self.peers.set_request_handler(MemberExchange, self.exchange_received)
        self.peers.add_link_listener(self.link_changed)

    async def run(self) -> None:
        """Send heartbeats and check those of other routers until cancelled."""
        now = self.kernel.clock.monotonic()
        self.next_heartbeat_at = now + random.uniform(0, HEARTBEAT_SECONDS)
        while True:
            deadline = min(
                self.next_heartbeat_at,
                self.table.next_deadline(),
                self.monitor.next_deadline(),
            )
            await self.wait_until(deadline)
            now = self.kernel.clock.monotonic()
            self.allow_for_pause(now - deadline, now)
            self.check_deadlines(now)
            if self.table.changes or now >= self.next_heartbeat_at:
                self.send_heartbeats(now)

    async def wait_until(self, deadline: float) -> None:
        """Return at a monotonic time, or soon after a change."""
        remaining = deadline - self.kernel.clock.monotonic()
        try:
            async with asyncio.timeout(max(remaining, 0)):
                await self.changed.wait()
        except TimeoutError:
            return
        self.changed.clear()
        await asyncio.sleep(COALESCE_SECONDS)

    def allow_for_pause(self, late_seconds: float, now: float) -> None:
        """Extend the deadlines of members if this process did not run."""
        if late_seconds <= COALESCE_SECONDS:
            return
        self.monitor.postpone(late_seconds, now)
        self.table.postpone(late_seconds, now)
        if late_seconds > MIN_FREEZE_SECONDS:
            # Other routers may have declared this VM dead in the meantime.
            self.table.refute()

    def check_deadlines(self, now: float) -> None:
        """Suspect members without heartbeats; apply expired deadlines."""
        for vm in self.monitor.take_expired(now):
            self.table.suspect(vm, now, SUSPICION_TIMEOUT_SECONDS)
        self.table.advance(now)
        self.apply_table_changes(now)

    def apply_table_changes(self, now: float) -> None:
        """Update links, monitors and view after changes of the table."""
        if self.view.version == self.table.version:
            return
        for changed in self.table.changes.values():
            if changed.state is MemberState.DEAD:
                self.peers.disconnect(changed.vm)
                self.refusals.reset(changed.vm)
            elif changed.state is not MemberState.SUSPECT:
                self.monitor.record_refutation(changed.vm, now)
                self.refusals.record_refutation(changed.vm, now)
        self.record_changes()
        self.view.refresh()
        self.monitor.watch(self.view.sources, now)
        if self.table.changes:
            self.changed.set()

    def record_changes(self) -> None:
        """Record an event for each member whose state changed."""
        events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        for changed in self.table.changes.values():
            if self.recorded_states.get(changed.vm) is not changed.state:
                self.recorded_states[changed.vm] = changed.state
                events.record(
                    'member_state',
                    changed.vm,
                    state=changed.state.value,
                    incarnation=changed.incarnation,
                )

    def send_heartbeats(self, now: float) -> None:
        """Send a heartbeat with all changes on each link."""
        self.next_heartbeat_at = now + HEARTBEAT_SECONDS
        changes = self.table.take_changes()
        targets = self.view.targets
        new_targets = targets - self.targets
        self.targets = targets
        self.peers.send_all(targets - new_targets, self.make_heartbeat(changes))
        if new_targets:
            # New targets may not know this VM yet.
            introduction = self.make_heartbeat(
                (self.table.local_member, *changes)
            )
            self.peers.send_all(new_targets, introduction)

    def make_heartbeat(self, changes: tuple['Member', ...]) -> Heartbeat:
        """Return a heartbeat of this VM with these changes."""
        return Heartbeat(
            self.table.local_member.incarnation,
            self.table.digest,
            self.register_digest,
            changes,
        )

    def merge(self, entries: tuple['Member', ...]) -> None:
        """Merge the entries of another router into the table."""
        now = self.kernel.clock.monotonic()
        for entry in entries:
            self.table.merge(entry, now)
        self.apply_table_changes(now)

    def heartbeat_received(self, sender: 'VmId', heartbeat: Heartbeat) -> None:
        """Record a heartbeat and merge its changes."""
        now = self.kernel.clock.monotonic()
        self.monitor.record_heartbeat(sender, now)
        self.table.record_heartbeat(sender, now)
        if heartbeat.changes:
            self.merge(heartbeat.changes)
        entry = self.table.entries.get(sender)
        if entry is None or entry.incarnation < heartbeat.incarnation:
            self.spawn_exchange(sender)
        elif entry.state in {MemberState.SUSPECT, MemberState.DEAD}:
            # The sender refutes the entry when it receives it.
            self.peers.send(sender, self.make_heartbeat((entry,)))
        is_same = heartbeat.digest == self.table.digest
        if self.comparison.is_due(sender, is_same=is_same):
            self.spawn_exchange(sender)

    def spawn_exchange(self, vm: 'VmId') -> None:
        """Start an exchange, unless another one has just started."""
        now = self.kernel.clock.monotonic()
        if now >= self.next_exchange_at:
            self.next_exchange_at = now + MIN_EXCHANGE_INTERVAL_SECONDS
            self.kernel.spawn(f'member exchange {vm}', self.exchange(vm))

    async def exchange(self, vm: 'VmId') -> None:
        """Send all entries to a router and merge those that it returns."""
        is_joining = len(self.table.entries) == 1
        outcome = await self.peers.request(
            vm,
            MemberExchange(tuple(self.table.entries.values())),
            MemberDifferences,
            EXCHANGE_TIMEOUT_SECONDS,
        )
        if outcome.is_ok():
            self.merge(outcome.ok.entries)
            if is_joining:
                # Other routers already have all entries except that of this
                # VM, so only that one is forwarded.
                self.table.changes = {
                    self.table.local_member.vm: self.table.local_member
                }

    async def exchange_received(
        self,
        sender: 'VmId',
        exchange: MemberExchange,
    ) -> MemberDifferences:
        """Merge all entries of a router and return those that it lacks."""
        self.merge(exchange.entries)
        remote_precedence = {
            entry.vm: precedence(entry) for entry in exchange.entries
        }
        return MemberDifferences(
            tuple(
                entry
                for entry in self.table.entries.values()
                if entry.vm not in remote_precedence
                or precedence(entry) > remote_precedence[entry.vm]
            ),
        )

    def link_changed(self, vm: 'VmId', event: LinkEvent) -> None:
        """Check at once whether a router is still alive.

        A lost link is reopened by a heartbeat, a refused connection makes
        the router a suspect.
        """
        entry = self.table.entries.get(vm)
        if entry is None or entry.state is MemberState.DEAD:
            return
        now = self.kernel.clock.monotonic()
        if event is LinkEvent.LOST:
            # A message makes the network connect again.
            self.peers.send(vm, self.make_heartbeat(()))
        elif event is LinkEvent.OPENED:
            self.refusals.reset(vm)
        elif event is LinkEvent.REFUSED and self.refusals.record_refusal(
            vm, now
        ):
            self.table.suspect(vm, now, REFUSED_SUSPICION_TIMEOUT_SECONDS)
            self.changed.set()
            self.apply_table_changes(now)
