"""Measures fairness between accounts that stay backlogged."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from statistics import fmean, median
from typing import Final

from pollenloom.core.ids import AccountId
from pollenloom_standins.experiment.measured_call import MeasuredCall
from pollenloom_standins.experiment.results import WindowGap

BIN_SECONDS: Final = 0.1
# Requests that are served at once wait for some milliseconds, too; only a
# longer wait counts as backlog.
BACKLOG_SECONDS: Final = 0.25
# Distance between the starts of windows, and between points of curves.
BINS_PER_STEP: Final = 5


class FairnessMeter:
    """Tokens and backlog of each account over time, as callers observe them.

    Attributes:
        shares: Shares of the accounts.
        bin_count: Number of time bins of the load.
        backlogged: Indexes of the bins in which a request of the account
            waited.
        cumulative_tokens: Tokens of each account until the start of each bin.
    """

    def __init__(
        self,
        records: Iterable[MeasuredCall],
        shares: Mapping[AccountId, float],
        seconds: float,
    ) -> None:
        self.shares = shares
        self.bin_count = round(seconds / BIN_SECONDS)
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
                int(at / BIN_SECONDS) + 1 for at in record.token_times
            )
        self.cumulative_tokens = {
            account: list(
                accumulate(
                    bin_counter[bin_index]
                    for bin_index in range(self.bin_count + 1)
                ),
            )
            for account, bin_counter in counts.items()
        }

    def gap(self, seconds: float, start: float) -> WindowGap:
        """Return the gaps over all windows of `seconds` after `start`.

        A window counts if at least two accounts were backlogged during all of
        it; without such a window, the gaps are 0.
        """
        length = round(seconds / BIN_SECONDS)
        first = round(start / BIN_SECONDS)
        starts = range(first, self.bin_count - length + 1, BINS_PER_STEP)
        windows = [
            service
            for begin in starts
            if len(service := self.service_in_window(begin, begin + length)) > 1
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

    def service_in_window(self, begin: int, end: int) -> tuple[float, ...]:
        """Return tokens / share of the accounts backlogged in all bins."""
        return tuple(
            (
                self.cumulative_tokens[account][end]
                - self.cumulative_tokens[account][begin]
            )
            / self.shares[account]
            for account in self.shares
            if self.backlogged[account].issuperset(range(begin, end))
        )

    def service_curve(self, account: AccountId) -> tuple[float, ...]:
        """Return cumulative tokens / share of an account every half second."""
        cumulative_tokens = self.cumulative_tokens[account][::BINS_PER_STEP]
        return tuple(
            tokens / self.shares[account] for tokens in cumulative_tokens
        )


def backlog_bins(record: MeasuredCall) -> range:
    """Return the bins in which a request counted as backlog."""
    return range(
        int((record.sent + BACKLOG_SECONDS) / BIN_SECONDS),
        int(record.waited_until / BIN_SECONDS),
    )


def least_part(service: Sequence[float]) -> float:
    """Return the smallest value divided by the mean; 0 if the mean is 0."""
    mean = fmean(service)
    return min(service) / mean if mean else 0
