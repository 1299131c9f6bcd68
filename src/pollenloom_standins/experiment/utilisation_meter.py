"""Busy slots while requests wait."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from statistics import fmean
from typing import Final

from pollenloom.core.ids import VmId
from pollenloom_standins.backend.run_history import RunRecord
from pollenloom_standins.experiment.arrival_record import ArrivalRecord
from pollenloom_standins.experiment.fairness_meter import BACKLOG_SECONDS
from pollenloom_standins.experiment.results import Utilisation
from pollenloom_standins.experiment.workload import SLOTS

BIN_SECONDS: Final = 0.05
STILL_RUNNING: Final = 1e12


class UtilisationMeter:
    """Requests in progress on each server over time, from its history.

    Attributes:
        started: Wall time of the start of the load.
        bins: Number of bins.
        running: Requests in progress at the start of each bin.
        waiting: Requests that wait for their first token for long.
    """

    def __init__(
        self,
        histories: Mapping[VmId, Sequence[RunRecord]],
        records: Iterable[ArrivalRecord],
        started: float,
        seconds: float,
    ) -> None:
        self.started = started
        self.bins = round(seconds / BIN_SECONDS)
        self.running = {
            vm: self.count(
                (run.started - started, (run.ended or STILL_RUNNING) - started)
                for run in runs
            )
            for vm, runs in histories.items()
        }
        self.waiting = self.count(
            (record.sent + BACKLOG_SECONDS, record.waited_until)
            for record in records
            if record.wait_seconds > BACKLOG_SECONDS
        )

    def count(self, spans: Iterable[tuple[float, float]]) -> list[int]:
        """Return how many spans cover the start of each bin."""
        changes: Counter[int] = Counter()
        for begin, end in spans:
            changes[self.bin_after(begin)] += 1
            changes[self.bin_after(end)] -= 1
        return list(
            accumulate(changes[number] for number in range(self.bins)),
        )

    def bin_after(self, seconds: float) -> int:
        """Return the first bin that starts at a time or later."""
        return min(max(int(seconds / BIN_SECONDS) + 1, 0), self.bins)

    def busy_part(self, number: int, vms: Iterable[VmId]) -> float:
        """Part of the slots of some servers that is busy in a bin."""
        return fmean(min(self.running[vm][number], SLOTS) / SLOTS for vm in vms)

    def busy_curve(self, vms: Sequence[VmId]) -> tuple[float, ...]:
        """Busy part of the slots of some servers in each bin."""
        return tuple(self.busy_part(number, vms) for number in range(self.bins))

    def measure(self, start: float, tokens: int) -> Utilisation:
        """Return the figures for the time after a start."""
        numbers = range(round(start / BIN_SECONDS), self.bins)
        busy = [
            self.busy_part(number, self.running)
            for number in numbers
            if self.waiting[number]
        ]
        peaks = [
            max(counts[number] for counts in self.running.values())
            for number in numbers
        ]
        return Utilisation(
            busy_while_waiting=fmean(busy) if busy else 1,
            waiting_time=len(busy) / len(numbers),
            overloaded_time=fmean(peak > SLOTS for peak in peaks),
            peak_load=max(peaks) / SLOTS,
            tokens_per_second=tokens / (len(numbers) * BIN_SECONDS),
        )
