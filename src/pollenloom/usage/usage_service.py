"""Reports the requests that began, while this router holds that duty."""

import asyncio
from math import ceil
from typing import ClassVar, Final
from uuid import uuid4

from absl import logging

from pollenloom.admission.local_admission import LocalAdmission
from pollenloom.admission.ticket import Ticket
from pollenloom.catalogue.duty_messages import (
    WindowCountsMessage,
    WindowReceiptMessage,
)
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.host_port import Address
from pollenloom.core.ids import FencingNumber, VmId, WindowNumber
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.duties.duty import Duty
from pollenloom.duties.duty_calls import DutyCalls
from pollenloom.duties.duty_notes import DutyNotes
from pollenloom.duties.duty_proof import DutyProof
from pollenloom.duties.recorded_duty_keeper import RecordedDutyKeeper
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics import Metrics
from pollenloom.settings.node_settings import DutySettings
from pollenloom.usage.begun_counts import BegunCounts, window_at
from pollenloom.usage.count_sender import CountSender
from pollenloom.usage.usage_ledger import (
    LedgerTerms,
    ReportedCount,
    Reporter,
    UsageLedger,
)
from pollenloom.usage.usage_recorder import UsageRecorder

# Interval at which counts are sent to the holder. A router that crashes loses
# what began since.
SEND_SECONDS: Final = 1.0
# Interval at which the holder looks for windows to report.
REPORT_SECONDS: Final = 0.25
# Part of the time for a report after which it is made without the counts of
# routers that do not answer; the rest is for a slow store and platform.
GRACE_PART: Final = 0.4
# Live routers send counts each second; one datagram may be lost.
LIVENESS_SECONDS: Final = 2.5
# Routers hear of a new holder at once, and send their counts within a second.
SETTLING_SECONDS: Final = 2.0
# Windows are reported until this many times the time for a report has passed;
# a late report still serves the operators.
KEPT_PART: Final = 3
# Failed reports are repeated after at least this time.
MIN_REPEAT_SECONDS: Final = 0.5


class UsageService(KernelService):
    """Counts requests of this router, and reports those of the fleet.

    Each router sends its counts to the holder of the duty and repeats them
    until the holder has received them and the window is settled. The holder
    adds them up, writes them to the store under its lease and reports them.

    Attributes:
        sender: Counts of this router, and what of them is to be sent.
        ledger: Counts of the fleet in the latest hold; None before the first.
        ledger_number: Fencing number of that hold.
        is_unsaved: Whether the ledger must be saved before the next report.
        repeat_at: When a failed report may be repeated, monotonic seconds.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.USAGE

    def __init__(
        self, kernel: Kernel, vm: VmId, settings: DutySettings
    ) -> None:
        self.kernel = kernel
        self.settings = settings
        kept_windows = 1 + ceil(
            KEPT_PART * settings.late_seconds / settings.window_seconds
        )
        counts = BegunCounts(
            settings.window_seconds, kept_windows, kernel.clock.wall()
        )
        self.sender = CountSender(vm, uuid4().hex, counts)
        self.ledger: UsageLedger | None = None
        self.ledger_number = FencingNumber(0)
        self.is_unsaved = False
        self.repeat_at: dict[WindowNumber, float] = {}

    async def start(self) -> None:
        """Start to count, to send and to report."""
        self.keeper = self.kernel.find(
            KernelServiceName.DUTIES, RecordedDutyKeeper
        )
        self.calls = self.kernel.find(KernelServiceName.DUTY_CALLS, DutyCalls)
        self.exchange = self.kernel.find(
            KernelServiceName.LOAD_EXCHANGE, LoadExchange
        )
        self.fleet_directory = self.kernel.find(
            KernelServiceName.FLEET_DIRECTORY, FleetDirectory
        )
        self.recorder = UsageRecorder(
            self.kernel.find(KernelServiceName.EVENTS, EventLog),
            self.kernel.find(KernelServiceName.METRICS, Metrics),
        )
        handlers = self.exchange.relay_handlers
        handlers[WindowCountsMessage] = self.receive_counts
        handlers[WindowReceiptMessage] = self.sender.receive
        admission = self.kernel.find(
            KernelServiceName.ADMISSION, LocalAdmission
        )
        admission.begun_listeners.append(self.count)
        self.kernel.spawn('usage-send', self.send_periodically())
        self.kernel.spawn('usage-report', self.report_periodically())

    async def leave(self) -> None:
        """Send the counts of the current window, since the process ends."""
        self.send_counts()

    async def stop(self) -> None:
        """Send the counts of requests that began during the drain."""
        self.send_counts()

    def count(self, ticket: Ticket) -> None:
        """Count a request of a client account that begins to run."""
        if ticket.account:
            self.sender.counts.add(
                ticket.account, ticket.request_id, self.kernel.clock.wall()
            )

    async def send_periodically(self) -> None:
        """Send counts to the holder of the duty."""
        while True:
            await asyncio.sleep(SEND_SECONDS)
            self.send_counts()

    def send_counts(self) -> None:
        """Send what the holder does not know as final."""
        message = self.sender.make_message(
            self.kernel.clock.wall(),
            self.keeper.last_number(Duty.USAGE_REPORT),
        )
        holder = self.keeper.holder(Duty.USAGE_REPORT)
        if holder == self.sender.vm:
            self.receive_counts(message)
        elif holder is not None:
            self.exchange.send(message, self.addresses(holder))

    def addresses(self, vm: VmId) -> list[Address]:
        """Return the address of another router; empty if it is unknown."""
        return [
            router.address
            for router in self.fleet_directory.routers()
            if router.vm == vm
        ]

    def receive_counts(self, message: WindowCountsMessage) -> None:
        """Merge the counts of a router if this one holds the duty."""
        now = self.kernel.clock.monotonic()
        if self.ledger is None or self.current_proof(now) is None:
            return
        reporter = Reporter(message.router, message.process)
        for count in message.counts:
            self.ledger.receive(
                reporter,
                count.window,
                ReportedCount(count.began, count.is_final),
                now,
            )
        receipt = WindowReceiptMessage(
            self.sender.vm,
            self.ledger_number,
            [entry.window for entry in message.counts if entry.is_final],
            self.ledger.settled,
        )
        if message.router == self.sender.vm:
            self.sender.receive(receipt)
        else:
            self.exchange.send(receipt, self.addresses(message.router))

    def current_proof(self, now: float) -> DutyProof | None:
        """Return a proof of the hold in which the ledger is kept."""
        proof = self.keeper.proof(Duty.USAGE_REPORT, now)
        if proof is None or proof.number != self.ledger_number:
            return None
        return proof

    async def report_periodically(self) -> None:
        """Close, save and report windows while this router holds the duty."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            now = self.kernel.clock.monotonic()
            proof = self.keeper.proof(Duty.USAGE_REPORT, now)
            if proof is None:
                continue
            if proof.number != self.ledger_number:
                self.begin_hold(proof, now)
            if self.ledger is not None and self.current_proof(now) is not None:
                await self.report_all(proof, self.ledger, now)

    async def report_all(
        self, proof: DutyProof, ledger: UsageLedger, now: float
    ) -> None:
        """Report all windows that are due under a proof."""
        routers = {router.vm for router in self.fleet_directory.routers()}
        if ledger.close(routers, now):
            self.is_unsaved = True
        if self.is_unsaved:
            saved = await self.keeper.save(proof, ledger.saved())
            if saved.is_error():
                return
            self.is_unsaved = False
        for window in ledger.unsettled():
            await self.report(ledger, window)
        self.leave_out_old(ledger)
        self.keeper.update(proof, ledger.saved())
        ledger.forget_reporters(now)

    def begin_hold(self, proof: DutyProof, now: float) -> None:
        """Begin a ledger from the notes of earlier holders."""
        notes = self.keeper.notes(proof)
        if notes is None:
            return
        if self.ledger is None or notes.continued != self.ledger_number:
            self.ledger = self.make_ledger(notes, now)
            self.is_unsaved = self.ledger.saved() != notes.text
        self.ledger_number = proof.number
        self.repeat_at.clear()
        self.send_counts()

    def make_ledger(self, notes: DutyNotes, now: float) -> UsageLedger:
        """Return a ledger that goes on where earlier holders stopped."""
        late_seconds = self.settings.late_seconds
        terms = LedgerTerms(
            grace=late_seconds * GRACE_PART,
            liveness=LIVENESS_SECONDS,
            absence=late_seconds,
            settling=SETTLING_SECONDS,
            first_settling=late_seconds * GRACE_PART,
        )
        # Earlier holders may have reported windows up to now, by a clock that
        # is ahead of the one here.
        difference = (
            self.settings.clock_difference_milliseconds
            / MILLISECONDS_PER_SECOND
        )
        doubtful = window_at(
            self.kernel.clock.wall() + difference,
            self.settings.window_seconds,
        )
        first = self.sender.counts.first
        ledger = UsageLedger.after(
            notes,
            terms,
            now,
            WindowNumber(doubtful - 1),
            first if self.settings.is_first_start else None,
        )
        if ledger.settled == doubtful - 1:
            reason = f'reports up to this window unknown: {notes.origin.value}'
            self.recorder.left_out(ledger.settled, reason)
        return ledger

    async def report(self, ledger: UsageLedger, window: WindowNumber) -> None:
        """Report one window whose counts are saved."""
        now = self.kernel.clock.monotonic()
        proof = self.current_proof(now)
        if proof is None or now < self.repeat_at.get(window, now):
            return
        report = ledger.report(window)
        reported = await self.calls.report_usage(proof, report)
        if reported.is_error():
            logging.info(
                'usage_call_failed %s: %s', window, reported.error.detail
            )
            pause = reported.error.retry_after_seconds or 0
            self.repeat_at[window] = self.kernel.clock.monotonic() + max(
                MIN_REPEAT_SECONDS, pause
            )
            return
        self.repeat_at.pop(window, None)
        seconds = self.seconds_since(window)
        self.recorder.reported(
            report,
            ledger.coverage.get(window),
            seconds,
            is_late=seconds > self.settings.late_seconds,
        )
        ledger.settle(window)

    def leave_out_old(self, ledger: UsageLedger) -> None:
        """Give up windows for whose report the time is long over.

        A router whose time of day is far off counts in windows that most
        routers never end.
        """
        limit = KEPT_PART * self.settings.late_seconds
        for window in ledger.unsettled():
            if self.seconds_since(window) > limit:
                ledger.settle(window)
                self.recorder.left_out(window, 'too late')
        for open_window in tuple(ledger.open_counts):
            if abs(self.seconds_since(open_window)) > limit:
                ledger.drop_open(open_window)
                self.recorder.left_out(open_window, 'ended by few routers')

    def seconds_since(self, window: WindowNumber) -> float:
        """Return the seconds since the end of a window."""
        end = (window + 1) * self.settings.window_seconds
        return self.kernel.clock.wall() - end
