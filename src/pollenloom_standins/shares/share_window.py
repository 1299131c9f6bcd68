"""The users' rule on shares of client accounts."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from pollenloom.core.ids import AccountId
from pollenloom_standins.shares.account_second import AccountSecond

WINDOW_SECONDS: Final = 6
# An account that is short of capacity in each second of a window gets at least
# this part of what it asked or what the best served account got, whichever is
# less, second by second.
SMALLEST_SHARE: Final = 0.5
# Requests are not divisible: so many of the account's largest ones may be
# missing.
SLACK_REQUESTS: Final = 3
# The users' bench told a break in which 110,414 tokens were missing, so the
# largest requests count less than some callers' estimates.
MAX_SLACK_COST: Final = 36_000.0

Seconds = Sequence[AccountSecond]


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareWindow:
    """What one account asked and got in a window of seconds.

    Attributes:
        account: The account.
        start: First second of the window.
        short_seconds: Seconds in which a request was refused or late.
        asked: Cost of its requests; one that its caller repeats after a
            refusal counts again.
        begun: Cost of its requests that began.
        owed: Cost that it asked for, up to what the best served account got,
            second by second.
        largest: Cost of its largest request.
        best: The best served account.
        best_begun: Cost of the requests of that account that began.
    """

    account: AccountId
    start: int
    short_seconds: int
    asked: float
    begun: float
    owed: float
    largest: float
    best: AccountId
    best_begun: float

    @classmethod
    def from_seconds(
        cls,
        account: AccountId,
        start: int,
        seconds: Mapping[AccountId, Seconds],
    ) -> 'ShareWindow':
        """Return the window of an account.

        Args:
            account: The account.
            start: First second of the window.
            seconds: What each account asked and got in each second of it.
        """
        totals = {
            other: sum(second.begun for second in counts)
            for other, counts in seconds.items()
        }
        best = max(totals, key=totals.__getitem__)
        own = seconds[account]
        return cls(
            account=account,
            start=start,
            short_seconds=sum(second.is_short for second in own),
            asked=sum(second.asked for second in own),
            begun=totals[account],
            owed=sum(
                min(second.asked, best_second.begun)
                for second, best_second in zip(own, seconds[best], strict=True)
            ),
            largest=max(second.largest for second in own),
            best=best,
            best_begun=totals[best],
        )

    @property
    def excess(self) -> float:
        """Cost above the smallest share, with its slack; negative below it."""
        slack = SLACK_REQUESTS * min(self.largest, MAX_SLACK_COST)
        return self.begun + slack - SMALLEST_SHARE * self.owed

    @property
    def margin(self) -> float:
        """Excess as a part of what was owed."""
        return self.excess / max(1, self.owed)


def share_windows(
    seconds: Mapping[AccountId, Seconds],
    first_second: int = 0,
    short_seconds: int = WINDOW_SECONDS,
) -> Iterator[ShareWindow]:
    """Yield the windows of accounts that were short of capacity.

    Args:
        seconds: What each account asked and got, by consecutive seconds; of
            the same number for each.
        first_second: Number of the first of these seconds.
        short_seconds: Seconds of a window in which a request of the account
            must have been refused or late.
    """
    count = min(map(len, seconds.values()), default=0)
    for offset in range(count - WINDOW_SECONDS + 1):
        window = {
            account: counts[offset : offset + WINDOW_SECONDS]
            for account, counts in seconds.items()
        }
        for account in window:
            found = ShareWindow.from_seconds(
                account, first_second + offset, window
            )
            if found.short_seconds >= short_seconds:
                yield found
