"""Measures how busy slots are while requests wait."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from statistics import fmean
from typing import Final

from pollenloom.core.ids import VmId
from pollenloom_standins.backend.run_history import RunRecord
from pollenloom_standins.experiment.fairness_meter import BACKLOG_SECONDS
from pollenloom_standins.experiment.measured_call import MeasuredCall
from pollenloom_standins.experiment.results import Utilisation
from pollenloom_standins.experiment.workload import SLOTS

BIN_SECONDS: Final = 0.05
# Wall time used as the end of runs in progress; later than any load.
OPEN_END_SECONDS: Final = 1e12


class UtilisationMeter:
    """Requests that are in progress and requests that wait, over time.

    Attributes:
        started: Wall time of the start of the load, in seconds.
        bin_count: Number of time bins of the load.
        running: Requests in progress on each server at the start of each bin,
            from its history.
        waiting: Requests in each bin that have waited for their first token
            for more than `BACKLOG_SECONDS`.
    """

    def __init__(
        self,
        histories: Mapping[VmId, Sequence[RunRecord]],
        records: Iterable[MeasuredCall],
        started: float,
        seconds: float,
    ) -> None:
        self.started = started
        self.bin_count = round(seconds / BIN_SECONDS)
        self.running = {
            vm: self.count_covering(
                (
                    run.started - started,
                    (run.ended or OPEN_END_SECONDS) - started,
                )
                for run in runs
            )
            for vm, runs in histories.items()
        }
        self.waiting = self.count_covering(
            (record.sent + BACKLOG_SECONDS, record.waited_until)
            for record in records
            if record.wait_seconds > BACKLOG_SECONDS
        )

    def count_covering(self, spans: Iterable[tuple[float, float]]) -> list[int]:
        """Return how many spans of seconds cover the start of each bin."""
        changes: Counter[int] = Counter()
        for begin, end in spans:
            changes[self.bin_after(begin)] += 1
            changes[self.bin_after(end)] -= 1
        return list(
            accumulate(
                changes[bin_index] for bin_index in range(self.bin_count)
            ),
        )

    def bin_after(self, seconds: float) -> int:
        """Return the index of the bin after the one that contains a time.

        The result is limited to the range from 0 to `bin_count`.
        """
        return min(max(int(seconds / BIN_SECONDS) + 1, 0), self.bin_count)

    def busy_fraction(self, bin_index: int, vms: Iterable[VmId]) -> float:
        """Return the fraction of the servers' slots that is busy in a bin."""
        return fmean(
            min(self.running[vm][bin_index], SLOTS) / SLOTS for vm in vms
        )

    def busy_curve(self, vms: Sequence[VmId]) -> tuple[float, ...]:
        """Return the fraction of the servers' slots busy in each bin."""
        return tuple(
            self.busy_fraction(bin_index, vms)
            for bin_index in range(self.bin_count)
        )

    def measure(self, start: float, tokens: int) -> Utilisation:
        """Return the utilisation after a start, in seconds of the load.

        `tokens` is the number of tokens that callers received after it. If no
        request waited, `busy_while_waiting` is 1.
        """
        bin_indexes = range(round(start / BIN_SECONDS), self.bin_count)
        busy = [
            self.busy_fraction(bin_index, self.running)
            for bin_index in bin_indexes
            if self.waiting[bin_index]
        ]
        peaks = [
            max(counts[bin_index] for counts in self.running.values())
            for bin_index in bin_indexes
        ]
        return Utilisation(
            busy_while_waiting=fmean(busy) if busy else 1,
            waiting_time=len(busy) / len(bin_indexes),
            overloaded_time=fmean(peak > SLOTS for peak in peaks),
            peak_load=max(peaks) / SLOTS,
            tokens_per_second=tokens / (len(bin_indexes) * BIN_SECONDS),
        )
