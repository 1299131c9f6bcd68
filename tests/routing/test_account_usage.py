"""Usage of client accounts."""

import math

import pytest

from pollenloom.core.ids import AccountId
from pollenloom.routing.account_usage import (
    MEMORY_SECONDS,
    MOST_TOLD,
    AccountUsage,
)

SHOP = AccountId('shop')


def test_usage_fades() -> None:
    """Guards against a burst that is held against an account for ever."""
    usage = AccountUsage()
    usage.charge(SHOP, 1000, 0)
    usage.decay(MEMORY_SECONDS)
    assert usage.total(SHOP) == pytest.approx(1000 / math.e)
    usage.decay(20 * MEMORY_SECONDS)
    assert not usage.own


def test_usage_at_other_routers_counts() -> None:
    """Guards against an account that gets a share at each router."""
    usage = AccountUsage()
    usage.charge(SHOP, 100, 0)
    usage.elsewhere = {SHOP: 50}
    assert usage.total(SHOP) == pytest.approx(150)


def test_report_stays_small() -> None:
    """Guards against datagrams that grow with the number of accounts."""
    usage = AccountUsage()
    for number in range(MOST_TOLD + 50):
        usage.charge(AccountId(f'a{number}'), 1000 + number, 0)
    told = usage.told(0)
    assert len(told) == MOST_TOLD
    assert AccountId('a0') not in told
