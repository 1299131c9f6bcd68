"""Estimates of costs from hints that are 10x wrong."""

import random
from statistics import fmean

from pollenloom.admission.cost_estimator import CostEstimator
from pollenloom.core.ids import AccountId

ACCOUNTS = tuple(AccountId(f'a{number}') for number in range(5))
IN_FLIGHT = 16


def test_estimates_converge_within_a_few_responses() -> None:
    """Guards against accounts that are served according to wrong hints."""
    random_source = random.Random(1)
    ratios = []
    for _ in range(30):
        estimator = CostEstimator()
        started: list[tuple[AccountId, float, float]] = []
        for number in range(120):
            account = ACCOUNTS[number % len(ACCOUNTS)]
            cost = 20 * 6 ** random_source.random()
            hint = cost * 100 ** random_source.random()
            ratio = estimator.estimate(account, hint) / cost
            started.append((account, hint, cost))
            if len(started) > IN_FLIGHT:
                estimator.learn(*started.pop(0))
                ratios.append(ratio)
    assert 4 / 5 < fmean(ratios) < 3 / 2
    assert sum(ratio > 5 for ratio in ratios) < 0.01 * len(ratios)


def test_accurate_hints_are_followed() -> None:
    """Guards against estimates by the mean cost although hints are right."""
    random_source = random.Random(2)
    estimator = CostEstimator()
    account = ACCOUNTS[0]
    for _ in range(40):
        cost = 10 * 100 ** random_source.random()
        estimator.learn(account, cost, cost)
    assert 7 < estimator.estimate(account, 10) < 20
    assert 500 < estimator.estimate(account, 1000) < 1500
