"""Tests of the requests that are taken on for accounts beyond their share."""

from collections import Counter

import pytest

from pollenloom.admission.account_shares import (
    MAX_OWED_REQUESTS,
    AccountShares,
)
from pollenloom.admission.share_class import ShareClass
from pollenloom.core.ids import AccountId, VmId
from pollenloom.routing.account_usage import AccountUsage

NOW = 1000.0
SHOP = AccountId('shop')
# What the shop and another account ask for, and what can be served of it.
DEMAND = 100_000.0
CAPACITY = 40_000.0
REQUESTS = 200


@pytest.fixture
def shares() -> AccountShares:
    """Shares of two accounts that ask for five times of what can be served."""
    refused = AccountUsage()
    refused.charge(SHOP, DEMAND, NOW)
    refused.charge(AccountId('bakery'), DEMAND, NOW)
    shares = AccountShares(VmId('r-1'), AccountUsage(), refused)
    shares.update(CAPACITY, 1, NOW)
    return shares


def count_within(shares: AccountShares) -> int:
    """Return how many of some new requests are within the share."""
    classes = Counter(shares.classify(SHOP) for _ in range(REQUESTS))
    return classes[ShareClass.WITHIN]


def test_repeats_are_paid_by_new_requests(shares: AccountShares) -> None:
    """Guards against a crash that gives most to who had most requests there.

    Each repeat was let in beside the share of its account, and began again.
    """
    usual = count_within(shares)
    for _ in range(5):
        shares.take_repeat(SHOP)
    assert count_within(shares) == pytest.approx(usual - 5, abs=1)


def test_request_that_did_not_begin_is_made_up_for(
    shares: AccountShares,
) -> None:
    """Guards against shares that are lost at crashed servers.

    The share was spent when a request was let in, also if its server crashed
    before it began.
    """
    usual = count_within(shares)
    for _ in range(5):
        shares.give_back(SHOP)
    assert count_within(shares) == pytest.approx(usual + 5, abs=1)


def test_what_an_account_owes_is_bounded(shares: AccountShares) -> None:
    """Guards against an account that gets nothing for seconds after a crash."""
    usual = count_within(shares)
    for _ in range(100):
        shares.take_repeat(SHOP)
    expected = usual - MAX_OWED_REQUESTS
    assert count_within(shares) == pytest.approx(expected, abs=1)


def test_account_below_the_level_owes_nothing(shares: AccountShares) -> None:
    """Guards against debts from a time in which nobody was short."""
    modest = AccountId('modest')
    for _ in range(100):
        shares.take_repeat(modest)
    assert shares.classify(modest) is ShareClass.WITHIN
