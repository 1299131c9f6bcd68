"""Estimates of real costs from callers' hints."""

import math
from dataclasses import dataclass

from pollenloom.core.ids import AccountId

# Weight of a new observation once enough of them are known.
LEARNING_WEIGHT = 0.05
# Variance of log hints that counts as no information on the slope.
SLOPE_PRIOR = 0.2
SMALLEST_COST = 1e-3


@dataclass(slots=True)
class CostStatistics:
    """Running statistics of the logarithms of hint and cost."""

    observations: int = 0
    hint_mean: float = 0
    cost_mean: float = 0
    hint_variance: float = 0
    covariance: float = 0
    bias: float = 1

    def predict(self, hint_log: float) -> float:
        """Regression of log cost on log hint.

        Without spread in the hints the slope is 1 (only the ratio counts);
        hints that say nothing get the slope 0 (the mean cost counts).
        """
        slope = (self.covariance + SLOPE_PRIOR) / (
            self.hint_variance + SLOPE_PRIOR
        )
        slope = min(1, max(0, slope))
        return self.cost_mean + slope * (hint_log - self.hint_mean)

    def learn(self, hint_log: float, cost_log: float) -> None:
        """Add an observation."""
        self.observations += 1
        weight = max(LEARNING_WEIGHT, 1 / self.observations)
        if self.observations > 1:
            error = cost_log - self.predict(hint_log)
            ratio = math.exp(min(3, max(-3, error)))
            self.bias += weight * (ratio - self.bias)
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


class CostEstimator:
    """Learns for each account of one service how its hints relate to costs."""

    def __init__(self) -> None:
        self.statistics: dict[AccountId, CostStatistics] = {}

    def estimate(self, account: AccountId, hint: float) -> float:
        """Expected cost of a request, in the unit of the resource."""
        known = self.statistics.get(account)
        if known is None:
            return max(hint, SMALLEST_COST)
        predicted = known.predict(to_log(hint))
        return math.exp(predicted) * known.bias

    def learn(self, account: AccountId, hint: float, cost: float) -> None:
        """Note the real cost of a request that was served."""
        if account not in self.statistics:
            self.statistics[account] = CostStatistics()
        self.statistics[account].learn(to_log(hint), to_log(cost))

    def retain(self, accounts: set[AccountId]) -> None:
        """Forget accounts that no longer exist."""
        for account in self.statistics.keys() - accounts:
            self.statistics.pop(account)


def to_log(amount: float) -> float:
    """Logarithm of a cost; costs of 0 count as the smallest one."""
    return math.log(max(amount, SMALLEST_COST))
