"""Virtual times of client accounts at a pool owner."""

import pytest

from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.core.ids import AccountId, PoolId

POOL = PoolId('answers/enschede')
EARLY = AccountId('early')
LATE = AccountId('late')
REQUESTS = 1000
COST = 100


def test_account_does_not_pay_back_what_it_got_from_idle_capacity() -> None:
    """Guards against an account that is starved when others begin to ask."""
    totals = ServiceTotals({EARLY: 1, LATE: 1})
    for _ in range(REQUESTS):
        totals.add_backlogged_pool(EARLY)
        totals.charge(POOL, EARLY, COST)
        totals.remove_backlogged_pool(EARLY)
    totals.add_backlogged_pool(LATE)
    totals.add_backlogged_pool(EARLY)
    lead = totals.time_of(EARLY) - totals.time_of(LATE)
    assert lead == pytest.approx(0, abs=COST)
