"""Raw data of a run, from which its figures are computed."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from itertools import pairwise
from statistics import median, quantiles

from pollenloom.core.ids import AccountId, VmId
from pollenloom_standins.backend.run_history import RunRecord
from pollenloom_standins.experiment.arrival import ArrivalKind
from pollenloom_standins.experiment.measured_call import (
    MeasuredCall,
    MeasuredCallOutcome,
)
from pollenloom_standins.experiment.results import CallCounts, Quantiles


@dataclass(frozen=True, kw_only=True)
class RunData:
    """Records of the callers and of the backend servers.

    Attributes:
        records: Calls as their callers observed them.
        histories: Runs of the backend servers.
        started: Wall time of the start of the load, in seconds.
        seconds: Length of the load.
        shares: Shares of the accounts.
        owner_changes: Growth of the sum of the pools' epochs during the load.
    """

    records: Sequence[MeasuredCall]
    histories: Mapping[VmId, Sequence[RunRecord]]
    started: float
    seconds: float
    shares: Mapping[AccountId, float]
    owner_changes: int = 0

    @cached_property
    def model_calls(self) -> tuple[MeasuredCall, ...]:
        """Calls of the model, in the order of sending."""
        return self.calls_of(ArrivalKind.MODEL)

    @cached_property
    def reads(self) -> tuple[MeasuredCall, ...]:
        """Calls of the application, in the order of sending."""
        return self.calls_of(ArrivalKind.READ, ArrivalKind.SEARCH)

    def calls_of(self, *kinds: ArrivalKind) -> tuple[MeasuredCall, ...]:
        """Return the calls of the given kinds."""
        return tuple(
            record for record in self.records if record.arrival.kind in kinds
        )

    def token_gaps(self) -> list[float]:
        """Return the seconds between successive tokens of each model call."""
        return [
            after - before
            for record in self.model_calls
            for before, after in pairwise(record.token_times)
        ]

    def runs_of(self, vms: Iterable[VmId]) -> list[RunRecord]:
        """Return the runs of the given servers, sorted by start."""
        runs = [run for vm in vms for run in self.histories[vm]]
        return sorted(runs, key=lambda run: run.started)


def quantiles_of(seconds: Sequence[float]) -> Quantiles:
    """Return median and 95th percentile; 0 for fewer than two values."""
    if len(seconds) < 2:
        return Quantiles(count=len(seconds))
    return Quantiles(
        count=len(seconds),
        median=median(seconds),
        p95=quantiles(seconds, n=20)[-1],
    )


def count_calls(records: Sequence[MeasuredCall]) -> CallCounts:
    """Count calls by outcome."""
    outcomes = Counter(record.outcome for record in records)
    return CallCounts(
        sent=len(records),
        served=outcomes[MeasuredCallOutcome.SERVED],
        refused=outcomes[MeasuredCallOutcome.REFUSED],
        failed=outcomes[MeasuredCallOutcome.FAILED],
        unfinished=outcomes[MeasuredCallOutcome.UNFINISHED],
    )


def count_error_details(records: Iterable[MeasuredCall]) -> dict[str, int]:
    """Return the eight most frequent error details with their counts.

    Details are shortened to 100 characters, so that similar ones count as one.
    """
    details = Counter(record.detail[:100] for record in records)
    details.pop('', None)
    return dict(details.most_common(8))
