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
from pollenloom.moves.move_evaluator import MoveEvaluator, traffic_share
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

# With 64 pool owners of a service, the VM that evaluates a move receives 128
# small reports a second while the move runs.
REPORT_PERIOD_SECONDS: Final = 0.5


class MoveController(MoveService):
    """Runs the moves that the configuration names.

    One VM evaluates each move: the first of the fleet by rendezvous hash.
    All VMs hold the state in a register, so any of them can take over the
    evaluation.

    Attributes:
        counters: Counts of this router, by register key.
        collected: Reports of all routers, by register key.
        records_by_key: Latest record of each move, by register key.
        started_at: Start of this process, Unix milliseconds.
    """

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel
        self.counters: dict[str, EvidenceCounter] = {}
        self.collected: dict[str, CollectedEvidence] = {}
        # Keeps decoded records: `share` is called for each grant, too often
        # to decode a register each time.
        self.records_by_key: dict[str, MoveRecord] = {}
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
        """Find the other services and start to report and evaluate."""
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
        """Do nothing; the kernel cancels the tasks."""

    def share(self, service: ServiceId, version: VersionId) -> float:
        """Return the share of the grants that a version may get, 0 to 1.

        It is 1 for services without a move and for unrelated versions.
        """
        configured = self.configuration.current.services.get(service)
        if configured is None or configured.move is None:
            return 1
        move = configured.move
        record = self.records_by_key.get(register_key(service, move))
        if version == move.to_version:
            return traffic_share(record)
        if version == move.from_version and traffic_share(record) >= 1:
            return 0
        return 1

    def record_response(self, report: 'ResponseReport') -> None:
        """Count a response if its service has a configured move."""
        service = self.configuration.current.services.get(report.service)
        if service is None or service.move is None:
            return
        key = register_key(service.service, service.move)
        self.counter(key, service.move).count_response(report)

    def records(self) -> tuple[MoveRecord, ...]:
        """Return the records of all known moves, the latest change last."""
        return tuple(
            sorted(
                self.records_by_key.values(),
                key=lambda record: record.decided_at,
            ),
        )

    def register_changed(self, key: str, register: RegisterValue) -> None:
        """Store the newer record of a move."""
        self.records_by_key[key] = read_record(register)

    def counter(self, key: str, move: 'MoveEntry') -> EvidenceCounter:
        """Return the counter of a move, reset if a new test has begun."""
        counter = self.counters.get(key)
        if counter is None:
            counter = EvidenceCounter(move)
            self.counters[key] = counter
        record = self.records_by_key.get(key)
        if record is not None:
            counter.begin_test(record.spent_tests)
        return counter

    async def run(self) -> None:
        """Report and evaluate moves until cancelled."""
        while True:
            await asyncio.sleep(REPORT_PERIOD_SECONDS)
            for service in self.configuration.current.services.values():
                if service.move is not None:
                    self.process_move(service.service, service.move)

    def process_move(self, service: ServiceId, move: 'MoveEntry') -> None:
        """Report the counts of a move; evaluate it if this VM is responsible.

        Does nothing before the start of the move and after its end.
        """
        now = self.kernel.clock.wall()
        if now < move.start.timestamp():
            return
        key = register_key(service, move)
        record = self.records_by_key.get(key)
        if record is not None and record.state is not MoveState.RUNNING:
            return
        ranked = self.membership.ranked(key)
        if not ranked:
            return
        evaluator_vm = ranked[0]
        report = self.make_report(key, move)
        # Only pool owners count responses, so most routers have no counts.
        if report.routes:
            self.peers.send(evaluator_vm, report)
        if evaluator_vm == self.membership.local_member.vm:
            self.evaluate(service, move, now)

    def make_report(self, key: str, move: 'MoveEntry') -> EvidenceReport:
        """Return the report with the counts of this router."""
        counter = self.counter(key, move)
        no_counts = VersionCounts()
        return EvidenceReport(
            register_key=key,
            reporter_start=self.started_at,
            test=counter.test,
            routes=tuple(
                RouteCounts(
                    route,
                    counter.old.get(route, no_counts),
                    counter.new.get(route, no_counts),
                )
                for route in sorted(counter.old.keys() | counter.new.keys())
            ),
        )

    def receive(self, sender: VmId, report: EvidenceReport) -> None:
        """Store the report of a router."""
        collected = self.collected.setdefault(
            report.register_key,
            CollectedEvidence(),
        )
        collected.put(sender, report)

    def evaluate(
        self, service: ServiceId, move: 'MoveEntry', now: float
    ) -> None:
        """Decide the next state of a move and publish it if it changed."""
        key = register_key(service, move)
        evaluator = MoveEvaluator(service, move)
        record = self.records_by_key.get(key)
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
        """Write a record to the register; log changes of state or stage."""
        local_vm = self.membership.local_member.vm
        previous = self.records_by_key.get(key)
        payload = msgspec.msgpack.encode(record)
        self.registers.put(key, RegisterValue(record.rank, local_vm, payload))
        if previous is not None and has_same_stage(previous, record):
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
        """Restore a state from the log, unless a later one is known."""
        del offset, appended_at
        record = entry.record
        self.registers.put(
            make_key(record.service, record.move),
            RegisterValue(record.rank, '', msgspec.msgpack.encode(record)),
        )


def has_same_stage(previous: MoveRecord, record: MoveRecord) -> bool:
    """Whether state and stage are the same, so that only evidence changed.

    The last stage ends a test about every 0.5 s under load; an event and a
    log record for each test would displace older ones.
    """
    return (previous.state, previous.stage) == (record.state, record.stage)
