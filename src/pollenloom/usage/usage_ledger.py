"""Counts of the whole fleet, and which windows are reported."""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Self

import msgspec

from pollenloom.core.ids import AccountId, VmId, WindowNumber
from pollenloom.duties.duty_notes import DutyNotes, NotesOrigin
from pollenloom.usage.usage_report import UsageReport
from pollenloom.validation.untrusted_bytes import decode_json


class SavedWindow(msgspec.Struct, frozen=True):
    """Counts of a window that may have been reported."""

    window: WindowNumber
    began: dict[AccountId, int]


class SavedUsage(msgspec.Struct, frozen=True):
    """What a successor must know of the reports.

    Attributes:
        settled: All windows up to this one are settled: reported or left out.
        windows: Later windows whose counts are fixed, in order.
    """

    settled: WindowNumber
    windows: list[SavedWindow] = []


@dataclass(frozen=True, slots=True)
class LedgerTerms:
    """Times of the ledger, in seconds.

    Attributes:
        grace: Time after most routers have ended a window until it is closed
            without the counts of the others.
        liveness: Age of the latest counts of a process at which it does not
            count as live.
        absence: Age of the latest counts of a router at which its counts are
            not waited for.
        settling: Time after the start of a hold in which no window is closed,
            since routers still learn who holds the duty.
        first_settling: The same in a system that has just started, whose
            routers are not all known yet.
    """

    grace: float
    liveness: float
    absence: float
    settling: float
    first_settling: float


@dataclass(slots=True)
class ReportedCount:
    """Counts of one process in one window."""

    began: Mapping[AccountId, int]
    is_final: bool


@dataclass(frozen=True, slots=True)
class WindowCoverage:
    """Whose counts a closed window has.

    Attributes:
        routers: Number of routers that had ended the window.
        is_complete: Whether no expected router was missing.
    """

    routers: int
    is_complete: bool


@dataclass(frozen=True, slots=True)
class Reporter:
    """A process of a router; a restarted one counts from zero."""

    router: VmId
    process: str


@dataclass(slots=True)
class UsageLedger:
    """Merges the counts of the fleet and decides when a window is closed.

    Counts of a closed window are fixed. They are reported only after they were
    saved, so that a successor reports the same ones.

    Attributes:
        terms: Times.
        began_at: Start of the hold, monotonic seconds.
        is_first: Whether the system has just started.
        settled: Last of the windows that are reported or left out.
        fixed: Counts of later windows that are closed, by window.
        done: Those of them that are reported or left out.
        coverage: Whose counts the closed windows have, if known.
        open_counts: Counts of windows that are not closed.
        heard_at: Time of the latest counts of each process, monotonic seconds.
        ended_at: When most live routers had ended a window.
    """

    terms: LedgerTerms
    began_at: float
    settled: WindowNumber
    fixed: dict[WindowNumber, dict[AccountId, int]] = field(
        default_factory=dict
    )
    done: set[WindowNumber] = field(default_factory=set)
    coverage: dict[WindowNumber, WindowCoverage] = field(default_factory=dict)
    open_counts: dict[WindowNumber, dict[Reporter, ReportedCount]] = field(
        default_factory=dict
    )
    is_first: bool = False
    heard_at: dict[Reporter, float] = field(default_factory=dict)
    ended_at: dict[WindowNumber, float] = field(default_factory=dict)

    @classmethod
    def after(
        cls,
        notes: DutyNotes,
        terms: LedgerTerms,
        now: float,
        doubtful: WindowNumber,
        first: WindowNumber | None,
    ) -> Self:
        """Return a ledger that goes on where earlier holders stopped.

        Args:
            notes: Their notes.
            terms: Times.
            now: Monotonic time in seconds.
            doubtful: Last window that they may have reported if their notes
                are not known; it and earlier ones are left out.
            first: First window of a system that never ran before; None if it
                may have run.
        """
        if notes.origin is NotesOrigin.NO_HOLDER and first is not None:
            ledger = cls(terms, now, WindowNumber(first - 1))
            ledger.is_first = True
            return ledger
        decoded = decode_json(notes.text.encode(), SavedUsage)
        if decoded.is_error():
            return cls(terms, now, doubtful)
        saved: SavedUsage = decoded.ok
        return cls(
            terms,
            now,
            saved.settled,
            {entry.window: entry.began for entry in saved.windows},
        )

    def receive(
        self,
        reporter: Reporter,
        window: WindowNumber,
        count: ReportedCount,
        now: float,
    ) -> None:
        """Take over counts of a router; they replace its earlier ones.

        Datagrams may arrive in another order, so counts never fall.
        """
        self.heard_at[reporter] = now
        if window <= max(self.fixed, default=self.settled):
            return
        counts = self.open_counts.setdefault(window, {})
        known = counts.get(reporter)
        if known is not None:
            is_older = sum(known.began.values()) > sum(count.began.values())
            if known.is_final or (is_older and not count.is_final):
                return
        counts[reporter] = count

    def close(
        self, routers: Collection[VmId], now: float
    ) -> tuple[WindowNumber, ...]:
        """Fix the counts of the windows that have ended; return these.

        A window is closed when all expected routers have ended it, or some
        time after most of the live ones have. No clock of a single router
        decides, as the time of day is wrong on some. Windows before a closed
        one are closed with it.

        Args:
            routers: Known routers; some may have failed.
            now: Monotonic time in seconds.
        """
        settling = self.terms.settling
        if self.is_first:
            settling = self.terms.first_settling
        if now - self.began_at < settling:
            return ()
        expected = self.expected(routers, now)
        ended = [
            window
            for window in self.open_counts
            if self.has_ended(window, expected, now)
        ]
        last = max(ended, default=self.settled)
        closed = tuple(
            window for window in sorted(self.open_counts) if window <= last
        )
        for window in closed:
            self.fix(window, expected)
        return closed

    def expected(
        self, routers: Collection[VmId], now: float
    ) -> frozenset[VmId]:
        """Return the routers whose counts are waited for."""
        earliest = now - self.terms.absence
        if self.began_at >= earliest:
            return frozenset(routers)
        recent = {
            reporter.router
            for reporter, heard_at in self.heard_at.items()
            if heard_at >= earliest
        }
        return frozenset(recent.intersection(routers))

    def has_ended(
        self,
        window: WindowNumber,
        expected: Collection[VmId],
        now: float,
    ) -> bool:
        """Whether the counts of a window can be fixed."""
        ended = self.ended_reporters(window)
        if expected and self.routers_of(ended).issuperset(expected):
            return True
        live = {
            reporter
            for reporter, heard_at in self.heard_at.items()
            if now - heard_at < self.terms.liveness
        }
        if 2 * len(ended & live) <= len(live):
            self.ended_at.pop(window, None)
            return False
        ended_at = self.ended_at.setdefault(window, now)
        return now - ended_at >= self.terms.grace

    def ended_reporters(self, window: WindowNumber) -> set[Reporter]:
        """Return the processes that have ended a window."""
        counts = self.open_counts.get(window, {})
        return {
            reporter for reporter, count in counts.items() if count.is_final
        }

    def routers_of(self, reporters: Collection[Reporter]) -> set[VmId]:
        """Return the routers of processes."""
        return {reporter.router for reporter in reporters}

    def fix(self, window: WindowNumber, expected: Collection[VmId]) -> None:
        """Add up the counts of a window; later ones change nothing."""
        ended = self.routers_of(self.ended_reporters(window))
        self.coverage[window] = WindowCoverage(
            len(ended), ended.issuperset(expected)
        )
        total: Counter[AccountId] = Counter()
        for count in self.open_counts.pop(window, {}).values():
            total.update(count.began)
        self.ended_at.pop(window, None)
        self.fixed[window] = dict(total)

    def drop_open(self, window: WindowNumber) -> None:
        """Drop the counts of a window that is not closed."""
        self.open_counts.pop(window, None)
        self.ended_at.pop(window, None)

    def report(self, window: WindowNumber) -> UsageReport:
        """Return the report of a window whose counts are fixed."""
        return UsageReport(window, self.fixed[window])

    def settle(self, window: WindowNumber) -> None:
        """Record that a window with fixed counts is reported or left out.

        The counts are kept while an earlier window is not settled, so that no
        later counts can take their place.
        """
        self.done.add(window)
        for earliest in sorted(self.fixed):
            if earliest not in self.done:
                return
            self.fixed.pop(earliest)
            self.coverage.pop(earliest, None)
            self.done.discard(earliest)
            self.settled = earliest

    def unsettled(self) -> tuple[WindowNumber, ...]:
        """Return the windows with fixed counts that are to be reported."""
        return tuple(
            window for window in sorted(self.fixed) if window not in self.done
        )

    def forget_reporters(self, now: float) -> None:
        """Drop processes whose counts are not waited for any more."""
        self.heard_at = {
            reporter: heard_at
            for reporter, heard_at in self.heard_at.items()
            if now - heard_at < self.terms.absence
        }

    def saved(self) -> str:
        """Return what a successor must know."""
        windows = [
            SavedWindow(window, self.fixed[window])
            for window in sorted(self.fixed)
        ]
        return msgspec.json.encode(SavedUsage(self.settled, windows)).decode()
