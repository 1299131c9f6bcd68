"""Tests of the max-min fair share."""

import pytest

from pollenloom.core.ids import AccountId
from pollenloom.routing.fair_level import fair_level

A, B, C = (AccountId(name) for name in 'abc')


def test_no_level_without_refusals() -> None:
    """Guards against accounts that are limited while there is capacity."""
    assert fair_level({A: 900, B: 10}, {}, capacity=100) is None


def test_no_level_while_capacity_covers_the_demand() -> None:
    """Guards against refusals for a share that nobody else needs."""
    assert fair_level({A: 900}, {A: 50}, capacity=1000) is None


def test_accounts_that_ask_more_share_equally() -> None:
    """Guards against a level that follows the account with most usage."""
    level = fair_level({A: 900, B: 100, C: 50}, {B: 5000, A: 5000}, 1050)
    assert level == pytest.approx((1050 - 50) / 2)


def test_small_demand_does_not_lower_the_level() -> None:
    """Guards against one refused small request that stops all others."""
    level = fair_level({A: 500, B: 500, C: 10}, {A: 900, B: 900, C: 5}, 1010)
    assert level == pytest.approx((1010 - 15) / 2)


def test_account_that_got_nothing_counts() -> None:
    """Guards against an account that is not seen because it is refused."""
    assert fair_level({A: 600}, {B: 5000}, 600) == pytest.approx(300)
