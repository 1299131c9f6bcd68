"""Tests of the usage of client accounts."""

import math

import pytest

from pollenloom.core.ids import AccountId
from pollenloom.routing.account_usage import (
    DECAY_SECONDS,
    MAX_REPORTED_ACCOUNTS,
    AccountUsage,
)

SHOP = AccountId('shop')


def test_usage_decays() -> None:
    """Guards against an account that is charged for a past burst for ever."""
    usage = AccountUsage()
    usage.charge(SHOP, 1000, 0)
    usage.decay(DECAY_SECONDS)
    assert usage.total(SHOP) == pytest.approx(1000 / math.e)
    usage.decay(20 * DECAY_SECONDS)
    assert not usage.local


def test_refund_takes_back_what_is_left_of_a_charge() -> None:
    """Guards against accounts that pay for requests that did not begin."""
    usage = AccountUsage()
    usage.charge(SHOP, 1000, 0)
    usage.charge(SHOP, 500, DECAY_SECONDS)
    usage.refund(SHOP, 1000, 0, DECAY_SECONDS)
    assert usage.total(SHOP) == pytest.approx(500)
    usage.refund(SHOP, 9000, DECAY_SECONDS, DECAY_SECONDS)
    assert not usage.total(SHOP)


def test_usage_at_other_routers_counts() -> None:
    """Guards against an account that gets its full share at each router."""
    usage = AccountUsage()
    usage.charge(SHOP, 100, 0)
    usage.remote = {SHOP: 50}
    assert usage.total(SHOP) == pytest.approx(150)


def test_report_size_is_limited() -> None:
    """Guards against datagrams that grow with the number of accounts."""
    usage = AccountUsage()
    for number in range(MAX_REPORTED_ACCOUNTS + 50):
        usage.charge(AccountId(f'a{number}'), 1000 + number, 0)
    reported = usage.largest_usages(0)
    assert len(reported) == MAX_REPORTED_ACCOUNTS
    assert AccountId('a0') not in reported


def test_few_small_requests_are_reported() -> None:
    """Guards against accounts whose demand nobody knows.

    Requests of services that count calls cost 1 each. The usage of accounts
    with a few at each router was dropped and reported as 0.
    """
    usage = AccountUsage()
    usage.charge(SHOP, 1, 0)
    reported = usage.largest_usages(DECAY_SECONDS)
    assert reported[SHOP] == pytest.approx(math.exp(-1), abs=0.01)
