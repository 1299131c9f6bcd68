"""Service that moves traffic from one version to the next."""

import asyncio
from typing import TYPE_CHECKING, Final, Self

import msgspec

from pollenloom.configuration.configuration_service import (
    ConfigurationService,
)
from pollenloom.core.ids import Offset, ServiceId, VersionId, VmId
from pollenloom.core.states import MoveState
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_tail import LogTail
from pollenloom.log_service.platform import Platform
from pollenloom.membership.membership import Membership
from pollenloom.membership.register_value import RegisterValue
from pollenloom.membership.registers import Registers
from pollenloom.moves.collected_evidence import CollectedEvidence
from pollenloom.moves.evidence_counter import EvidenceCounter
from pollenloom.moves.move_evaluator import MoveEvaluator, share_of
from pollenloom.moves.move_key import (
    REGISTER_PREFIX,
    make_key,
    register_key,
)
from pollenloom.moves.move_log import MoveLog, read_record
from pollenloom.moves.move_messages import (
    EvidenceReport,
    MoveLogEntry,
    RouteCounts,
)
from pollenloom.moves.move_record import MoveRecord
from pollenloom.moves.move_service import MoveService
from pollenloom.moves.version_counts import VersionCounts
from pollenloom.observability.event_log import EventLog
from pollenloom.peers.peer_network import PeerNetwork

if TYPE_CHECKING:
    from pollenloom.configuration.move_entry import MoveEntry
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.moves.response_report import ResponseReport
    from pollenloom.settings.router_settings import RouterSettings

# At 64 pool owners of a service the judge gets 128 small reports a second
# while a move runs.
REPORT_SECONDS: Final = 0.5


class MoveController(MoveService):
    """Runs the moves that the configuration names.

    One VM judges each move; the first of the fleet by rendezvous hash. All
    VMs hold the state in a register, so any of them can go on judging.
    """

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel
        self.counters: dict[str, EvidenceCounter] = {}
        self.collected: dict[str, CollectedEvidence] = {}
        # Shares are asked for at each grant, too often to decode registers.
        self.known: dict[str, MoveRecord] = {}
        self.started_at = 0

    @classmethod
    def from_config(
        cls,
        kernel: 'Kernel',
        settings: 'RouterSettings',
    ) -> Self:
        """Return the service; it has no settings of its own."""
        del settings
        return cls(kernel)

    async def start(self) -> None:
        """Find the other services and start to report and judge."""
        find = self.kernel.find
        self.events = find(KernelServiceName.EVENTS, EventLog)
        self.membership = find(KernelServiceName.MEMBERSHIP, Membership)
        self.registers = find(KernelServiceName.REGISTERS, Registers)
        self.peers = find(KernelServiceName.PEERS, PeerNetwork)
        self.log = MoveLog(
            find(KernelServiceName.PLATFORM, Platform),
            self.registers,
        )
        self.configuration = find(
            KernelServiceName.CONFIGURATION,
            ConfigurationService,
        )
        self.started_at = int(self.kernel.clock.wall() * 1000)
        self.registers.watch(REGISTER_PREFIX, self.register_changed)
        self.peers.subscribe(EvidenceReport, self.receive)
        find(KernelServiceName.LOG, LogTail).subscribe(
            MoveLogEntry,
            self.restore,
        )
        self.kernel.spawn('version-moves', self.run())

    async def stop(self) -> None:
        """Nothing to release: the kernel ends the tasks."""

    def share(self, service: ServiceId, version: VersionId) -> float:
        """Return the part of the grants that a version may get, 0 to 1."""
        configured = self.configuration.current.services.get(service)
        if configured is None or configured.move is None:
            return 1
        move = configured.move
        record = self.known.get(register_key(service, move))
        if version == move.to_version:
            return share_of(record)
        if version == move.from_version and share_of(record) >= 1:
            return 0
        return 1

    def note(self, report: 'ResponseReport') -> None:
        """Count an answer if its service is moving."""
        service = self.configuration.current.services.get(report.service)
        if service is None or service.move is None:
            return
        key = register_key(service.service, service.move)
        self.counter(key, service.move).note(report)

    def records(self) -> tuple[MoveRecord, ...]:
        """Return the reports on all known moves, the latest last."""
        return tuple(
            sorted(self.known.values(), key=lambda record: record.decided_at),
        )

    def register_changed(self, key: str, register: RegisterValue) -> None:
        """Take over a newer state of a move."""
        self.known[key] = read_record(register)

    def counter(self, key: str, move: 'MoveEntry') -> EvidenceCounter:
        """Return the counts of a move, for the test that is running."""
        counter = self.counters.get(key)
        if counter is None:
            counter = EvidenceCounter(move)
            self.counters[key] = counter
        record = self.known.get(key)
        if record is not None:
            counter.begin_test(record.spent_tests)
        return counter

    async def run(self) -> None:
        """Report and judge until cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            for service in self.configuration.current.services.values():
                if service.move is not None:
                    self.work_on(service.service, service.move)

    def work_on(self, service: ServiceId, move: 'MoveEntry') -> None:
        """Report the counts of a move, and judge it if that is up to us."""
        now = self.kernel.clock.wall()
        if now < move.start.timestamp():
            return
        key = register_key(service, move)
        record = self.known.get(key)
        if record is not None and record.state is not MoveState.RUNNING:
            return
        ranked = self.membership.ranked(key)
        if not ranked:
            return
        judge_vm = ranked[0]
        report = self.make_report(key, move)
        # Only pool owners count, so most routers have nothing to tell.
        if report.routes:
            self.peers.send(judge_vm, report)
        if judge_vm == self.membership.own.vm:
            self.judge(service, move, now)

    def make_report(self, key: str, move: 'MoveEntry') -> EvidenceReport:
        """Return the counts of this router."""
        counter = self.counter(key, move)
        nothing = VersionCounts()
        return EvidenceReport(
            register_key=key,
            reporter_start=self.started_at,
            test=counter.test,
            routes=tuple(
                RouteCounts(
                    route,
                    counter.old.get(route, nothing),
                    counter.new.get(route, nothing),
                )
                for route in sorted(counter.old.keys() | counter.new.keys())
            ),
        )

    def receive(self, sender: VmId, report: EvidenceReport) -> None:
        """Keep the counts of a router."""
        collected = self.collected.setdefault(
            report.register_key,
            CollectedEvidence(),
        )
        collected.put(sender, report)

    def judge(self, service: ServiceId, move: 'MoveEntry', now: float) -> None:
        """Decide the next state of a move from the collected counts."""
        key = register_key(service, move)
        evaluator = MoveEvaluator(service, move)
        record = self.known.get(key)
        if record is None:
            self.publish(key, evaluator.begin(now))
            return
        collected = self.collected.get(key, CollectedEvidence())
        decided = evaluator.decide(
            record, collected.total(record.spent_tests), now
        )
        if decided != record:
            self.publish(key, decided)

    def publish(self, key: str, record: MoveRecord) -> None:
        """Spread a new state to all routers and to the log."""
        own = self.membership.own.vm
        known = self.known.get(key)
        payload = msgspec.msgpack.encode(record)
        self.registers.put(key, RegisterValue(record.rank, own, payload))
        if known is not None and is_repeated(known, record):
            return
        self.events.record(
            f'move_{record.state.value}',
            record.move,
            service=record.service,
            stage=record.stage,
            reason=record.reason,
            evidence=msgspec.json.encode(record.evidence).decode(),
        )
        self.kernel.spawn('move-log', self.log.append(key, record))

    def restore(
        self,
        offset: Offset,
        appended_at: float,
        entry: MoveLogEntry,
    ) -> None:
        """Take over a state from the log, unless a later one is known."""
        del offset, appended_at
        record = entry.record
        self.registers.put(
            make_key(record.service, record.move),
            RegisterValue(record.rank, '', msgspec.msgpack.encode(record)),
        )


def is_repeated(known: MoveRecord, record: MoveRecord) -> bool:
    """Whether only the evidence changed.

    The last stage ends a test about every 0.5 s under load; an event and a
    log record for each would push older ones out.
    """
    return (known.state, known.stage) == (record.state, record.stage)
