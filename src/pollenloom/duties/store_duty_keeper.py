"""Duties by leases in the platform's store."""

import asyncio
from collections.abc import Iterable
from types import MappingProxyType
from typing import Final
from uuid import uuid4

from expression import Error, Ok, Result

from pollenloom.catalogue.duty_messages import DutyNotice, DutyNoticesMessage
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import FencingNumber, VmId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.duties.duty import Duty
from pollenloom.duties.duty_lease import DutyLease
from pollenloom.duties.duty_notes import DutyNotes
from pollenloom.duties.duty_notices import DutyNotices
from pollenloom.duties.duty_proof import DutyProof
from pollenloom.duties.duty_status import DutyStatus
from pollenloom.duties.hold_recorder import HoldRecorder
from pollenloom.duties.instant import Instant
from pollenloom.duties.lease_runner import LeaseRunner
from pollenloom.duties.lease_write import LeaseTerms
from pollenloom.duties.recorded_duty_keeper import RecordedDutyKeeper
from pollenloom.duties.store_position import StorePosition
from pollenloom.duties.topic_sight import NO_NUMBER
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics import Metrics
from pollenloom.settings.node_settings import DutySettings

TOPICS: Final = MappingProxyType(
    {
        Duty.USAGE_REPORT: StoreTopic.USAGE_DUTY,
        Duty.SCALING: StoreTopic.SCALING_DUTY,
    }
)
# A lease is longer than the shortest one allowed, since writes cost money. A
# third of it without an answer leaves time for two more writes.
LEASE_FACTOR: Final = 1.5
RENEWAL_PART: Final = 1 / 3
MARGIN_SECONDS: Final = 0.5
# Calls under a proof take less.
RELEASE_SECONDS: Final = 1.2
# A call that begins later is likely to be aborted.
MIN_PROOF_SECONDS: Final = 0.2
# Longest time between two looks at a hold that may end without a step.
CHECK_SECONDS: Final = 0.25
# Time for others to claim a duty that was given up; longer than they need if
# they have not heard of it.
YIELD_SECONDS: Final = 15.0
# Other routers claim later by this for each router before them, so that they
# hear of its claim first.
CLAIM_STAGGER_SECONDS: Final = 0.3


class StoreDutyKeeper(RecordedDutyKeeper):
    """Competes for duties by records in the store, one topic for each duty.

    Only the collectors of load reports claim duties. They learn the holder's
    writes from datagrams, so that only the holder calls the store while it
    can.

    Attributes:
        runners: Lease of each duty with its task.
        is_leaving: Whether this router stops and claims nothing more.
    """

    def __init__(
        self,
        kernel: Kernel,
        vm: VmId,
        settings: DutySettings,
        duties: Iterable[Duty],
    ) -> None:
        self.kernel = kernel
        self.vm = vm
        terms = make_terms(settings.lease_milliseconds)
        process = uuid4().hex
        now = Instant.from_clock(kernel.clock)
        self.runners = {
            duty: LeaseRunner(
                duty,
                TOPICS[duty],
                DutyLease(vm, process, terms, now),
                kernel.clock,
            )
            for duty in duties
        }
        self.is_leaving = False

    async def start(self) -> None:
        """Start to compete for the duties."""
        self.fleet_directory = self.kernel.find(
            KernelServiceName.FLEET_DIRECTORY, FleetDirectory
        )
        self.exchange = self.kernel.find(
            KernelServiceName.LOAD_EXCHANGE, LoadExchange
        )
        self.notices = DutyNotices(
            self.vm, self.kernel.clock, self.exchange, self.hear
        )
        self.recorder = HoldRecorder(
            self.kernel.clock,
            self.kernel.find(KernelServiceName.EVENTS, EventLog),
            self.kernel.find(KernelServiceName.METRICS, Metrics),
        )
        self.exchange.relay_handlers[DutyNoticesMessage] = self.notices.receive
        store = self.kernel.find(KernelServiceName.KEYED_STORE, KeyedStore)
        for duty, runner in self.runners.items():
            runner.begin(store, self.notices, self.recorder, self.claim_delay)
            self.kernel.spawn(f'duty-{duty.value}', runner.run())
        self.kernel.spawn('duty-notices', self.notices.run())

    async def leave(self) -> None:
        """Give up all duties; others may claim them at once."""
        self.is_leaving = True
        for duty in self.runners:
            self.give_up(duty)

    async def drain(self) -> None:
        """Wait until the duties are released, or others can claim them."""
        while any(runner.lease.leaving for runner in self.runners.values()):
            await asyncio.sleep(CHECK_SECONDS)

    async def stop(self) -> None:
        """Do nothing; the kernel ends the tasks."""

    def proof(self, duty: Duty, now: float) -> DutyProof | None:
        """Return a proof for a call that begins now; see `DutyKeeper`."""
        runner = self.runners.get(duty)
        if runner is None or runner.lease.held is None:
            return None
        instant = Instant(now, self.kernel.clock.uptime())
        seconds = runner.lease.valid_seconds(instant)
        if seconds < MIN_PROOF_SECONDS:
            return None
        number = runner.lease.held.number
        return DutyProof(duty, self.vm, number, now + seconds)

    def holder(self, duty: Duty) -> VmId | None:
        """Return the router that was last heard to hold the duty."""
        notice = self.notices.known.get(duty)
        if notice is None or notice.is_released:
            return None
        return notice.holder

    def notes(self, proof: DutyProof) -> DutyNotes | None:
        """Return the notes at the beginning of a hold."""
        inherited = self.runners[proof.duty].lease.inherited
        if inherited is None or inherited.number != proof.number:
            return None
        return inherited

    async def save(self, proof: DutyProof, notes: str) -> Result[None, Failure]:
        """Write notes under the lease; see `RecordedDutyKeeper.save`."""
        runner = self.runners[proof.duty]
        version: int | None = None
        while self.is_held(proof):
            if version is None:
                version = runner.lease.put_notes(notes)
                runner.wake.set()
            elif runner.lease.saved_version >= version:
                return Ok(None)
            try:
                async with asyncio.timeout(CHECK_SECONDS):
                    await runner.has_changed.wait()
            except TimeoutError:
                """The hold may have ended without a step."""
        detail = f'{proof.duty.value} is not held under number {proof.number}'
        return Error(Failure(ErrorKind.NOT_OWNER, detail))

    def update(self, proof: DutyProof, notes: str) -> None:
        """Let the next renewal write notes."""
        if self.is_held(proof):
            self.runners[proof.duty].lease.notes = notes

    def is_held(self, proof: DutyProof) -> bool:
        """Whether the hold of a proof still lasts."""
        lease = self.runners[proof.duty].lease
        if lease.held is None or lease.held.number != proof.number:
            return False
        return lease.valid_seconds(Instant.from_clock(self.kernel.clock)) > 0

    def last_number(self, duty: Duty) -> FencingNumber:
        """Return the number of the holder that was last heard."""
        notice = self.notices.known.get(duty)
        return notice.number if notice else NO_NUMBER

    def give_up(self, duty: Duty) -> bool:
        """Give a duty up; see `RecordedDutyKeeper.give_up`."""
        runner = self.runners.get(duty)
        if runner is None:
            return False
        now = Instant.from_clock(self.kernel.clock)
        was_held = runner.lease.give_up(now)
        if was_held:
            runner.yields_until = now.monotonic + YIELD_SECONDS
            runner.wake.set()
        return was_held

    def statuses(self, now: float) -> tuple[DutyStatus, ...]:
        """Return who holds each duty, as known here."""
        return tuple(self.status(duty, now) for duty in self.runners)

    def status(self, duty: Duty, now: float) -> DutyStatus:
        """Return who holds a duty, as known here."""
        proof = self.proof(duty, now)
        held = self.runners[duty].lease.held
        if proof is not None and held is not None:
            seconds = now - held.since.monotonic
            return DutyStatus(duty, self.vm, proof.number, True, seconds)
        number = self.last_number(duty)
        return DutyStatus(duty, self.holder(duty), number, False, 0)

    def claim_delay(self, now: float) -> float | None:
        """Return by how long this router's claims wait for those of others.

        None if it must not claim: it stops, is no collector, or does not know
        the fleet yet.
        """
        if self.is_leaving or self.fleet_directory.position() is None:
            return None
        chosen = self.exchange.collector_choice.choose_by_data_centre(
            self.fleet_directory.routers(), now
        )
        ranks = sorted(
            (rank, router.vm)
            for collectors in chosen.values()
            for rank, router in enumerate(collectors)
        )
        for index, (_, vm) in enumerate(ranks):
            if vm == self.vm:
                return index * CLAIM_STAGGER_SECONDS
        return None

    def hear(self, notice: DutyNotice) -> None:
        """Apply a notice of another router to the lease."""
        runner = self.runners.get(notice.duty)
        if runner is None:
            return
        runner.lease.hear(
            StorePosition(notice.era, notice.end),
            notice.number,
            Instant.from_clock(self.kernel.clock),
            is_released=notice.is_released,
        )
        if notice.is_released:
            runner.wake.set()


def make_terms(lease_milliseconds: float) -> LeaseTerms:
    """Return the times of a lease; see `DutySettings.lease_milliseconds`."""
    seconds = lease_milliseconds / MILLISECONDS_PER_SECOND * LEASE_FACTOR
    return LeaseTerms(
        lease=seconds,
        margin=MARGIN_SECONDS,
        renewal=seconds * RENEWAL_PART,
        release=RELEASE_SECONDS,
    )
