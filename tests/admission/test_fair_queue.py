"""Order of accounts in the fair queue, their totals and cost estimates."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.admission.cost_estimator import CostEstimator
from pollenloom.admission.fair_queue import (
    FairQueue,
    PendingRequest,
    RouterBacklog,
)
from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.core.ids import AccountId, PoolId, VmId

POOL = PoolId('minutes/enschede/0')
OTHER_POOL = PoolId('minutes/hengelo/0')
ROUTER = VmId('r0')
SMALL, LARGE = AccountId('small'), AccountId('large')
SHARES = {SMALL: 1.0, LARGE: 3.0}
RunningGrant = tuple[AccountId, float, float]


@pytest.fixture
def totals() -> ServiceTotals:
    return ServiceTotals(SHARES)


def backlog(waiting: int = 1_000_000) -> RouterBacklog:
    return RouterBacklog(waiting)


def grant(queue: FairQueue, estimate: float, cost: float) -> RunningGrant:
    account = next(queue.accounts())
    queue.pop(account, ROUTER)
    queue.totals.charge(POOL, account, estimate)
    return account, estimate, cost


@pytest.mark.parametrize('fair', [True, False])
@given(
    requests=st.lists(
        st.tuples(st.floats(1, 100), st.sampled_from([0.1, 1, 10])),
        min_size=60,
        max_size=150,
    ),
    slots=st.integers(1, 8),
)
def test_service_gap_of_one_owner_is_bounded(
    fair: bool,
    requests: list[tuple[float, float]],
    slots: int,
) -> None:
    """Guards against accounts that gain service by wrong cost hints.

    The hints are off by up to 10x both ways. In fair order the gap stays below
    (slots + 2) * largest charge / smallest share. In order of arrival the
    account that came first gets everything.
    """
    queue = FairQueue(ServiceTotals(SHARES), fair=fair)
    queue.replace(LARGE, ROUTER, backlog())
    queue.replace(SMALL, ROUTER, backlog())
    queue.backlog[LARGE][ROUTER].heads.append(PendingRequest(0, 1))
    queue.backlog[SMALL][ROUTER].heads.append(PendingRequest(1, 1))
    served: dict[AccountId, float] = {SMALL: 0, LARGE: 0}
    running: list[RunningGrant] = []
    largest_gap: float = 0
    for cost, hint_factor in requests:
        running.append(grant(queue, cost * hint_factor, cost))
        if len(running) > slots:
            account, estimate, real = running.pop(0)
            queue.totals.charge(POOL, account, real - estimate)
            served[account] += real
        largest_gap = max(largest_gap, abs(served[SMALL] - served[LARGE] / 3))
    bound = (slots + 2) * 10 * 100
    if fair:
        assert largest_gap <= bound
    else:
        assert served[SMALL] == 0


def test_idle_account_gets_no_credit(totals: ServiceTotals) -> None:
    """Guards against credit for idle time.

    An account that becomes backlogged after an idle time gets its share, not
    the service that it missed before.
    """
    queue = FairQueue(totals)
    queue.replace(LARGE, ROUTER, backlog())
    for _ in range(100):
        grant(queue, 30, 30)
    queue.replace(SMALL, ROUTER, backlog())
    order = [grant(queue, 30, 30)[0] for _ in range(40)]
    assert 9 <= order.count(SMALL) <= 11


def test_refund_is_no_credit_for_idle_time(totals: ServiceTotals) -> None:
    """Guards against refunds of too high hints that count as credit.

    With hints of 10x the actual cost, later refunds could move an account below
    the virtual time at which it became backlogged.
    """
    totals.add_backlogged_pool(LARGE)
    totals.charge(POOL, SMALL, 1000)
    totals.charge(POOL, LARGE, 900)
    totals.add_backlogged_pool(SMALL)
    totals.charge(POOL, SMALL, -900)
    assert totals.time_of(SMALL) >= totals.time_of(LARGE)


def test_new_share_does_not_charge_the_past(totals: ServiceTotals) -> None:
    """Guards against a burst after an operator raises a share.

    It would come about if past cost were divided by the new share.
    """
    totals.charge(POOL, SMALL, 5000)
    totals.configure({SMALL: 10.0, LARGE: 3.0})
    assert totals.time_of(SMALL) == 5000
    totals.charge(POOL, SMALL, 1000)
    assert totals.time_of(SMALL) == 5100


def test_totals_are_charged_once(totals: ServiceTotals) -> None:
    """Guards against charging totals twice or from before a partition.

    Sends repeated totals, totals after a gap, of a new owner, and late ones
    of the former owner.
    """
    totals.merge(OTHER_POOL, 1, {SMALL: 700}, now=0)
    assert totals.time_of(SMALL) == 0
    totals.merge(OTHER_POOL, 1, {SMALL: 800}, now=1)
    totals.merge(OTHER_POOL, 1, {SMALL: 800}, now=1)
    assert totals.time_of(SMALL) == 100
    totals.merge(OTHER_POOL, 1, {SMALL: 9000}, now=3.5)
    assert totals.time_of(SMALL) == 100
    totals.merge(OTHER_POOL, 2, {SMALL: 5000}, now=4)
    totals.merge(OTHER_POOL, 1, {SMALL: 9900}, now=4)
    totals.merge(OTHER_POOL, 2, {SMALL: 5050}, now=4.5)
    assert totals.time_of(SMALL) == 150
    assert totals.served(SMALL) == 5050


def test_removed_accounts_use_no_memory(totals: ServiceTotals) -> None:
    """Guards against memory growth by accounts that no longer exist."""
    totals.merge(OTHER_POOL, 1, {AccountId('unknown'): 5}, now=0)
    totals.charge(POOL, SMALL, 10)
    totals.configure({LARGE: 3.0})
    assert not totals.times
    assert not totals.pools[POOL].served
    assert not totals.pools[OTHER_POOL].served


def test_retries_go_first_within_an_account(totals: ServiceTotals) -> None:
    """Guards against a retry that waits behind other requests."""
    queue = FairQueue(totals)
    for name, waiting_since, retry in (('r0', 1, False), ('r1', 5, True)):
        entry = backlog(1)
        entry.heads.append(PendingRequest(waiting_since, 1, retry=retry))
        queue.replace(SMALL, VmId(name), entry)
    assert queue.routers(SMALL) == ['r1', 'r0']


@pytest.mark.parametrize('hint_factor', [0.1, 10])
def test_estimates_correct_proportional_hint_errors(hint_factor: float) -> None:
    """Guards against estimates that keep a constant error of the hints."""
    estimator = CostEstimator()
    for cost in (50, 100, 200) * 20:
        estimator.learn(SMALL, cost * hint_factor, cost)
    for cost in (50, 200):
        estimate = estimator.estimate(SMALL, cost * hint_factor)
        assert 0.7 * cost <= estimate <= 1.4 * cost


def test_estimates_ignore_random_hints() -> None:
    """Guards against estimates that follow hints unrelated to the cost."""
    estimator = CostEstimator()
    for number in range(300):
        estimator.learn(SMALL, 10 ** (number % 5), 100)
    assert 70 <= estimator.estimate(SMALL, 1) <= 140
    assert 70 <= estimator.estimate(SMALL, 10_000) <= 140
