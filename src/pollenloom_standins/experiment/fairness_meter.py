"""Fairness between accounts that stay backlogged."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from statistics import fmean, median
from typing import Final

from pollenloom.core.ids import AccountId
from pollenloom_standins.experiment.arrival_record import ArrivalRecord
from pollenloom_standins.experiment.results import WindowGap

BIN_SECONDS: Final = 0.1
# An account that is served at once has requests that wait for some
# milliseconds; only a longer wait counts as backlog.
BACKLOG_SECONDS: Final = 0.25
BINS_PER_STEP: Final = 5


class FairnessMeter:
    """Tokens and backlog of each account over time, as callers see them.

    Attributes:
        shares: Shares of the accounts.
        backlogged: Bins in which a request of the account waited.
        served: Cumulative tokens of each account at the start of each bin.
    """

    def __init__(
        self,
        records: Iterable[ArrivalRecord],
        shares: Mapping[AccountId, float],
        seconds: float,
    ) -> None:
        self.shares = shares
        self.bins = round(seconds / BIN_SECONDS)
        self.backlogged: dict[AccountId, set[int]] = {
            account: set() for account in shares
        }
        counts: dict[AccountId, Counter[int]] = {
            account: Counter() for account in shares
        }
        for record in records:
            account = record.arrival.account
            self.backlogged[account].update(backlog_bins(record))
            counts[account].update(
                int(at / BIN_SECONDS) + 1 for at in record.tokens
            )
        self.served = {
            account: list(
                accumulate(number[place] for place in range(self.bins + 1)),
            )
            for account, number in counts.items()
        }

    def gap(self, seconds: float, start: float) -> WindowGap:
        """Return the gaps over all windows of a length after a start."""
        length = round(seconds / BIN_SECONDS)
        first = round(start / BIN_SECONDS)
        starts = range(first, self.bins - length + 1, BINS_PER_STEP)
        windows = [
            service
            for begin in starts
            if len(service := self.window(begin, begin + length)) > 1
        ]
        if not windows:
            return WindowGap(seconds=seconds)
        gaps = [max(service) - min(service) for service in windows]
        return WindowGap(
            seconds=seconds,
            windows=len(windows),
            median_gap=median(gaps),
            largest_gap=max(gaps),
            mean_service=fmean(fmean(service) for service in windows),
            least_part=median(least_part(service) for service in windows),
        )

    def window(self, begin: int, end: int) -> tuple[float, ...]:
        """Tokens / share of the accounts backlogged in the whole window."""
        return tuple(
            (self.served[account][end] - self.served[account][begin])
            / self.shares[account]
            for account in self.shares
            if self.backlogged[account].issuperset(range(begin, end))
        )

    def curve(self, account: AccountId) -> tuple[float, ...]:
        """Tokens / share of one account over time."""
        served = self.served[account][::BINS_PER_STEP]
        return tuple(tokens / self.shares[account] for tokens in served)


def backlog_bins(record: ArrivalRecord) -> range:
    """Return the bins in which a request waited for long."""
    return range(
        int((record.sent + BACKLOG_SECONDS) / BIN_SECONDS),
        int(record.waited_until / BIN_SECONDS),
    )


def least_part(service: Sequence[float]) -> float:
    """Return the smallest value as a part of the mean."""
    mean = fmean(service)
    return min(service) / mean if mean else 0
