"""The users' rule on shares, over what a fleet in simulated time began."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from tests.admission.local_fleet import AccountSeconds

WINDOW_SECONDS = 6
# An account that has requests refused in each second of a window gets at least
# this part of the smaller of its own demand and of what the best served
# account gets, second by second.
SMALLEST_SHARE = 0.5
# Requests are not divisible: so many of the largest ones may be missing.
SLACK_REQUESTS = 3


@dataclass(frozen=True, slots=True)
class ShareWindow:
    """What one account got in a window in which it was refused all along.

    Attributes:
        account: The account.
        start: First second of the window.
        begun: Tokens of its requests that began.
        owed: Tokens that it asked for, up to what the best served got.
        best: The best served account.
        best_begun: Tokens of the requests of that account that began.
        margin: What `begun` is above the smallest share, as a part of `owed`;
            negative if the rule is broken.
    """

    account: str
    start: int
    begun: float
    owed: float
    best: str
    best_begun: float
    margin: float


def share_windows(
    accounts: Mapping[str, AccountSeconds],
    seconds: range,
    largest_tokens: float,
) -> Iterator[ShareWindow]:
    """Yield the windows within `seconds` in which an account was refused.

    Args:
        accounts: What each account asked and got.
        seconds: Seconds of the run in which the rule holds.
        largest_tokens: Tokens of the largest request.
    """
    slack = SLACK_REQUESTS * largest_tokens
    for start in seconds[: len(seconds) - WINDOW_SECONDS + 1]:
        window = range(start, start + WINDOW_SECONDS)
        begun = {
            account: sum(counts.begun[second] for second in window)
            for account, counts in accounts.items()
        }
        best = max(begun, key=begun.__getitem__)
        for account, counts in accounts.items():
            if not all(counts.refused[second] for second in window):
                continue
            owed = sum(
                min(counts.asked[second], accounts[best].begun[second])
                for second in window
            )
            excess = begun[account] + slack - SMALLEST_SHARE * owed
            yield ShareWindow(
                account=account,
                start=start,
                begun=begun[account],
                owed=owed,
                best=best,
                best_begun=begun[best],
                margin=excess / max(1, owed),
            )
