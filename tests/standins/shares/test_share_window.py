"""Tests of the rule on shares."""

from itertools import repeat

import pytest

from pollenloom.core.ids import AccountId
from pollenloom_standins.shares.account_second import AccountSecond
from pollenloom_standins.shares.share_window import (
    MAX_SLACK_COST,
    WINDOW_SECONDS,
    share_windows,
)

SMALL = AccountId('small')
LARGE = AccountId('large')
SHORT = AccountSecond(asked=1000, begun=300, refused=2, largest=100)
SERVED = AccountSecond(asked=4000, begun=2000)
IDLE = AccountSecond(asked=4000, begun=200)
CALM = AccountSecond(asked=100, begun=100)


def repeated(
    second: AccountSecond, count: int = WINDOW_SECONDS
) -> list[AccountSecond]:
    """Return the same second several times."""
    return list(repeat(second, count))


def test_margin_counts_demand_and_slack() -> None:
    """Guards against a margin that is not the one of the users' rule.

    Half of 6,000 asked is owed; 1,800 began, and 3 x 100 may be missing.
    """
    seconds = {SMALL: repeated(SHORT), LARGE: repeated(SERVED)}
    window = next(share_windows(seconds, first_second=5))
    assert window.account == SMALL
    assert window.best == LARGE
    assert window.start == 5
    assert window.excess == pytest.approx(1800 + 300 - 3000)
    assert window.margin == pytest.approx(-900 / 6000)


def test_slack_is_bounded() -> None:
    """Guards against breaks that estimates of large requests hide."""
    wide = AccountSecond(asked=1, refused=1, largest=2 * MAX_SLACK_COST)
    windows = share_windows({SMALL: repeated(wide), LARGE: repeated(SERVED)})
    window = next(windows)
    assert window.excess == pytest.approx(3 * MAX_SLACK_COST - 3)


def test_owed_is_at_most_what_the_best_served_got_in_the_second() -> None:
    """Guards against shares that are owed in seconds without capacity."""
    served = [*repeated(SERVED, 3), *repeated(IDLE, 3)]
    window = next(share_windows({SMALL: repeated(SHORT), LARGE: served}))
    assert window.owed == pytest.approx(3 * 1000 + 3 * 200)


def test_account_with_a_second_in_which_it_was_served_is_left_out() -> None:
    """Guards against breaks of accounts that the rule does not cover."""
    seconds = {SMALL: [*repeated(SHORT, 5), CALM], LARGE: repeated(SERVED)}
    assert not list(share_windows(seconds))
    assert len(list(share_windows(seconds, short_seconds=5))) == 1


def test_windows_slide_by_a_second() -> None:
    """Guards against windows that miss a shortage between their borders."""
    seconds = {SMALL: repeated(SHORT, 8), LARGE: repeated(SERVED, 8)}
    starts = [window.start for window in share_windows(seconds)]
    assert starts == [0, 1, 2]
