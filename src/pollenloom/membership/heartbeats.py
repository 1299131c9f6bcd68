"""Heartbeats, failure detection and gossip of one router."""

import asyncio
import random
from typing import TYPE_CHECKING

from pollenloom.core.states import MemberState
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.digest_comparison import DigestComparison
from pollenloom.membership.heartbeat_monitor import HeartbeatMonitor
from pollenloom.membership.member_table import SUSPECT_SECONDS, precedence
from pollenloom.membership.membership_messages import (
    Heartbeat,
    MemberDifferences,
    MemberExchange,
)
from pollenloom.membership.refusal_evaluator import RefusalEvaluator
from pollenloom.observability.event_log import EventLog
from pollenloom.peers.peer_links import LinkEvent, PeerLinks

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.membership.fleet_view import FleetView
    from pollenloom.membership.member import Member
    from pollenloom.membership.member_table import MemberTable

HEARTBEAT_SECONDS = 0.5
# Changes that arrive together are passed on in one message.
COALESCE_SECONDS = 0.02
# Time to refute for a member whose host says that nothing listens there.
REFUSED_SECONDS = 0.5
# A timer this late means that the process was stopped, not just busy.
FREEZE_SECONDS = 1
EXCHANGE_SECONDS = 2
# Bounds the cost when many routers join or return at once.
EXCHANGE_PAUSE_SECONDS = 1


class Heartbeats:
    """Runs the membership protocol on the links of one router."""

    def __init__(
        self,
        kernel: 'Kernel',
        table: 'MemberTable',
        view: 'FleetView',
        peers: PeerLinks,
    ) -> None:
        self.kernel = kernel
        self.table = table
        self.view = view
        self.peers = peers
        self.monitor = HeartbeatMonitor()
        self.refusals = RefusalEvaluator()
        self.states: dict[VmId, MemberState] = {}
        self.comparison = DigestComparison()
        self.register_digest = 0
        self.next_exchange: float = 0
        self.targets: frozenset[VmId] = frozenset()
        self.changed = asyncio.Event()
        self.next_beat: float = 0

    def connect(self) -> None:
        """Subscribe to the messages and events of the peer network."""
        self.peers.subscribe(Heartbeat, self.heartbeat_received)
        self.peers.answer(MemberExchange, self.exchange_received)
        self.peers.observe(self.link_changed)

    async def run(self) -> None:
        """Send heartbeats and judge the silence of others."""
        now = self.kernel.clock.monotonic()
        self.next_beat = now + random.uniform(0, HEARTBEAT_SECONDS)
        while True:
            deadline = min(
                self.next_beat,
                self.table.next_deadline(),
                self.monitor.next_deadline(),
            )
            await self.wait_until(deadline)
            now = self.kernel.clock.monotonic()
            self.allow_for_pause(now - deadline, now)
            self.judge(now)
            if self.table.changes or now >= self.next_beat:
                self.beat(now)

    async def wait_until(self, deadline: float) -> None:
        """Return at a time, or soon after a change."""
        remaining = deadline - self.kernel.clock.monotonic()
        try:
            async with asyncio.timeout(max(remaining, 0)):
                await self.changed.wait()
        except TimeoutError:
            return
        self.changed.clear()
        await asyncio.sleep(COALESCE_SECONDS)

    def allow_for_pause(self, late_seconds: float, now: float) -> None:
        """Blame nobody for silence while this process did not run."""
        if late_seconds <= COALESCE_SECONDS:
            return
        self.monitor.postpone(late_seconds, now)
        self.table.postpone(late_seconds, now)
        if late_seconds > FREEZE_SECONDS:
            # Others may have declared this VM dead meanwhile.
            self.table.refute()

    def judge(self, now: float) -> None:
        """Suspect the silent and declare dead whose time is over."""
        for vm in self.monitor.silent(now):
            self.table.suspect(vm, now, SUSPECT_SECONDS)
        self.table.advance(now)
        self.follow(now)

    def follow(self, now: float) -> None:
        """Bring everything in line with the table after changes."""
        if self.view.version == self.table.version:
            return
        for changed in self.table.changes.values():
            if changed.state is MemberState.DEAD:
                self.peers.disconnect(changed.vm)
                self.refusals.reset(changed.vm)
            elif changed.state is not MemberState.SUSPECT:
                self.monitor.refuted(changed.vm, now)
                self.refusals.refuted(changed.vm, now)
        self.record_changes()
        self.view.refresh()
        self.monitor.watch(self.view.sources, now)
        if self.table.changes:
            self.changed.set()

    def record_changes(self) -> None:
        """Record the members whose state changed."""
        events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        for changed in self.table.changes.values():
            if self.states.get(changed.vm) is not changed.state:
                self.states[changed.vm] = changed.state
                events.record(
                    'member_state',
                    changed.vm,
                    state=changed.state.value,
                    incarnation=changed.incarnation,
                )

    def beat(self, now: float) -> None:
        """Send a heartbeat with the changes on all links."""
        self.next_beat = now + HEARTBEAT_SECONDS
        changes = self.table.take_changes()
        targets = self.view.targets
        new_targets = targets - self.targets
        self.targets = targets
        self.peers.send_all(targets - new_targets, self.heartbeat(changes))
        if new_targets:
            # They may not know this VM yet.
            introduction = self.heartbeat((self.table.own, *changes))
            self.peers.send_all(new_targets, introduction)

    def heartbeat(self, changes: tuple['Member', ...]) -> Heartbeat:
        """Make a heartbeat."""
        return Heartbeat(
            self.table.own.incarnation,
            self.table.digest,
            self.register_digest,
            changes,
        )

    def merge(self, entries: tuple['Member', ...]) -> None:
        """Take entries of another router."""
        now = self.kernel.clock.monotonic()
        for entry in entries:
            self.table.merge(entry, now)
        self.follow(now)

    def heartbeat_received(self, sender: 'VmId', heartbeat: Heartbeat) -> None:
        """Note that a router is there and take its news."""
        now = self.kernel.clock.monotonic()
        self.monitor.heard(sender, now)
        self.table.heard(sender, now)
        if heartbeat.changes:
            self.merge(heartbeat.changes)
        entry = self.table.entries.get(sender)
        if entry is None or entry.incarnation < heartbeat.incarnation:
            self.spawn_exchange(sender)
        elif entry.state in {MemberState.SUSPECT, MemberState.DEAD}:
            # The sender refutes when it learns what is said about it.
            self.peers.send(sender, self.heartbeat((entry,)))
        is_same = heartbeat.digest == self.table.digest
        if self.comparison.is_due(sender, is_same=is_same):
            self.spawn_exchange(sender)

    def spawn_exchange(self, vm: 'VmId') -> None:
        """Exchange all entries with a router, but not too often."""
        now = self.kernel.clock.monotonic()
        if now >= self.next_exchange:
            self.next_exchange = now + EXCHANGE_PAUSE_SECONDS
            self.kernel.spawn(f'member exchange {vm}', self.exchange(vm))

    async def exchange(self, vm: 'VmId') -> None:
        """Exchange all entries with a router."""
        is_joining = len(self.table.entries) == 1
        outcome = await self.peers.request(
            vm,
            MemberExchange(tuple(self.table.entries.values())),
            MemberDifferences,
            EXCHANGE_SECONDS,
        )
        if outcome.is_ok():
            self.merge(outcome.ok.entries)
            if is_joining:
                # The others know all of it but the own entry.
                self.table.changes = {self.table.own.vm: self.table.own}

    async def exchange_received(
        self,
        sender: 'VmId',
        exchange: MemberExchange,
    ) -> MemberDifferences:
        """Take all entries of a router and return what it lacks."""
        self.merge(exchange.entries)
        theirs = {entry.vm: precedence(entry) for entry in exchange.entries}
        return MemberDifferences(
            tuple(
                entry
                for entry in self.table.entries.values()
                if entry.vm not in theirs
                or precedence(entry) > theirs[entry.vm]
            ),
        )

    def link_changed(self, vm: 'VmId', event: LinkEvent) -> None:
        """Find out at once whether a router is still there."""
        entry = self.table.entries.get(vm)
        if entry is None or entry.state is MemberState.DEAD:
            return
        now = self.kernel.clock.monotonic()
        if event is LinkEvent.LOST:
            # A message makes the network connect again.
            self.peers.send(vm, self.heartbeat(()))
        elif event is LinkEvent.OPENED:
            self.refusals.reset(vm)
        elif event is LinkEvent.REFUSED and self.refusals.refused(vm, now):
            self.table.suspect(vm, now, REFUSED_SECONDS)
            self.changed.set()
            self.follow(now)
