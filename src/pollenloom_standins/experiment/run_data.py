"""Raw data of a run, from which figures are computed."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from itertools import pairwise
from statistics import median, quantiles

from pollenloom.core.ids import AccountId, VmId
from pollenloom_standins.backend.run_history import RunRecord
from pollenloom_standins.experiment.arrival import ArrivalKind
from pollenloom_standins.experiment.arrival_record import ArrivalRecord, CallEnd
from pollenloom_standins.experiment.results import CallCounts, Quantiles


@dataclass(frozen=True, kw_only=True)
class RunData:
    """What callers and model servers recorded.

    Attributes:
        records: Calls as their callers saw them.
        histories: Runs of the backend servers.
        started: Wall time of the start of the load.
        seconds: Length of the load.
        shares: Shares of the accounts.
        owner_changes: Growth of the pools' epochs during the load.
    """

    records: Sequence[ArrivalRecord]
    histories: Mapping[VmId, Sequence[RunRecord]]
    started: float
    seconds: float
    shares: Mapping[AccountId, float]
    owner_changes: int = 0

    @cached_property
    def model_calls(self) -> tuple[ArrivalRecord, ...]:
        """Calls of the model."""
        return self.calls_of(ArrivalKind.MODEL)

    @cached_property
    def reads(self) -> tuple[ArrivalRecord, ...]:
        """Calls of the application."""
        return self.calls_of(ArrivalKind.READ, ArrivalKind.SEARCH)

    def calls_of(self, *kinds: ArrivalKind) -> tuple[ArrivalRecord, ...]:
        """Return the calls of some kinds."""
        return tuple(
            record for record in self.records if record.arrival.kind in kinds
        )

    def token_gaps(self) -> list[float]:
        """Return the times between tokens."""
        return [
            after - before
            for record in self.model_calls
            for before, after in pairwise(record.tokens)
        ]

    def runs_of(self, vms: Iterable[VmId]) -> list[RunRecord]:
        """Return the runs of some servers in the order of their start."""
        runs = [run for vm in vms for run in self.histories[vm]]
        return sorted(runs, key=lambda run: run.started)


def quantiles_of(seconds: Sequence[float]) -> Quantiles:
    """Return median and 95th percentile."""
    if len(seconds) < 2:
        return Quantiles(count=len(seconds))
    return Quantiles(
        count=len(seconds),
        median=median(seconds),
        p95=quantiles(seconds, n=20)[-1],
    )


def count_calls(records: Sequence[ArrivalRecord]) -> CallCounts:
    """Count calls by their end."""
    ends = Counter(record.end for record in records)
    return CallCounts(
        sent=len(records),
        served=ends[CallEnd.SERVED],
        refused=ends[CallEnd.REFUSED],
        failed=ends[CallEnd.FAILED],
        unfinished=ends[CallEnd.UNFINISHED],
    )


def count_details(records: Iterable[ArrivalRecord]) -> dict[str, int]:
    """Count the details of errors."""
    details = Counter(record.detail[:100] for record in records)
    details.pop('', None)
    return dict(details.most_common(8))
