"""Estimates of real costs from callers' hints."""

import math
from dataclasses import dataclass

from pollenloom.core.ids import AccountId

# Weight of a new observation once enough of them are known.
LEARNING_WEIGHT = 0.05
# Slope of a hint of which nothing is known: hints are 10x wrong, so that the
# mean cost says more. It weighs as much as this variance of log hints.
FIRST_SLOPE = 0.25
SLOPE_PRIOR = 0.2
SMALLEST_COST = 1e-3
# Observations of an account that weigh as much as those of all accounts.
COMMON_OBSERVATIONS = 8


@dataclass(slots=True)
class CostStatistics:
    """Running statistics of the logarithms of hint and cost.

    `expected` and `seen` are running means of predicted and real costs; their
    ratio corrects the mean, which a regression of logarithms sets too low.
    A mean of ratios would be dominated by single bad predictions.
    """

    observations: int = 0
    hint_mean: float = 0
    cost_mean: float = 0
    hint_variance: float = 0
    covariance: float = 0
    expected: float = 0
    seen: float = 0

    @property
    def bias(self) -> float:
        """Factor from predicted to real costs."""
        return self.seen / self.expected if self.expected else 1

    def predict(self, hint_log: float) -> float:
        """Regression of log cost on log hint.

        Hints that are right get the slope 1 (only the ratio counts); hints
        that say nothing get the slope 0 (the mean cost counts).
        """
        slope = (self.covariance + SLOPE_PRIOR * FIRST_SLOPE) / (
            self.hint_variance + SLOPE_PRIOR
        )
        slope = min(1, max(0, slope))
        return self.cost_mean + slope * (hint_log - self.hint_mean)

    def estimate(self, hint_log: float) -> float:
        """Expected logarithm of the cost, with the mean corrected."""
        return self.predict(hint_log) + math.log(self.bias)

    def learn(self, hint_log: float, cost_log: float) -> None:
        """Add an observation."""
        self.observations += 1
        weight = max(LEARNING_WEIGHT, 1 / self.observations)
        if self.observations > 1:
            self.learn_bias(math.exp(self.predict(hint_log)), cost_log)
        hint_shift = hint_log - self.hint_mean
        cost_shift = cost_log - self.cost_mean
        self.hint_mean += weight * hint_shift
        self.cost_mean += weight * cost_shift
        rest = 1 - weight
        self.hint_variance = rest * (
            self.hint_variance + weight * hint_shift * hint_shift
        )
        self.covariance = rest * (
            self.covariance + weight * hint_shift * cost_shift
        )

    def learn_bias(self, predicted: float, cost_log: float) -> None:
        """Compare a prediction with the cost."""
        weight = max(LEARNING_WEIGHT, 1 / self.observations)
        self.expected += weight * (predicted - self.expected)
        self.seen += weight * (math.exp(cost_log) - self.seen)


class CostEstimator:
    """Learns for each account of one service how its hints relate to costs.

    What all accounts have in common counts for accounts of which little is
    known. Before anything is known, all requests get the smallest hint: the
    hint of a model request limits its answer, so that it is too high rather
    than too low, and accounts would be served by the luck of their hints.
    Charges that are too high also lift the accounts that become backlogged
    meanwhile, which the settlement does not undo.
    """

    def __init__(self) -> None:
        self.statistics: dict[AccountId, CostStatistics] = {}
        self.common = CostStatistics()
        self.smallest_hint = math.inf

    def estimate(self, account: AccountId, hint: float) -> float:
        """Expected cost of a request, in the unit of the resource."""
        hint_log = to_log(hint)
        if self.common.observations == 0:
            self.smallest_hint = min(self.smallest_hint, math.exp(hint_log))
            return self.smallest_hint
        common = self.common.estimate(hint_log)
        known = self.statistics.get(account)
        if known is None:
            return math.exp(common)
        trust = known.observations / (known.observations + COMMON_OBSERVATIONS)
        return math.exp(
            trust * known.estimate(hint_log) + (1 - trust) * common,
        )

    def learn(self, account: AccountId, hint: float, cost: float) -> None:
        """Note the real cost of a request that was served."""
        if account not in self.statistics:
            self.statistics[account] = CostStatistics()
        self.statistics[account].learn(to_log(hint), to_log(cost))
        self.common.learn(to_log(hint), to_log(cost))

    def retain(self, accounts: set[AccountId]) -> None:
        """Forget accounts that no longer exist."""
        for account in self.statistics.keys() - accounts:
            self.statistics.pop(account)


def to_log(amount: float) -> float:
    """Logarithm of a cost; costs of 0 count as the smallest one."""
    return math.log(max(amount, SMALLEST_COST))
