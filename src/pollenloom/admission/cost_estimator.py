"""Estimates of actual costs from the callers' cost hints."""

import math
from dataclasses import dataclass

from pollenloom.core.ids import AccountId

# Weight of a new observation once 1 / observations falls below it.
LEARNING_WEIGHT = 0.05
# Prior of the regression slope. It is low since hints are wrong by 10x, so that
# the mean cost predicts better. It weighs as much as this variance of the
# logarithms of hints.
PRIOR_SLOPE = 0.25
PRIOR_HINT_VARIANCE = 0.2
MIN_COST = 1e-3
# Number of observations at which the statistics of an account get the same
# weight as those of all accounts.
COMMON_WEIGHT_OBSERVATIONS = 8


@dataclass(slots=True)
class CostStatistics:
    """Running statistics of the logarithms of hint and cost.

    `predicted_mean` and `observed_mean` are running means of the predicted
    and the actual costs. Their ratio corrects the predicted mean, which a
    regression of logarithms underestimates. A mean of ratios would be
    dominated by a few bad predictions.
    """

    observations: int = 0
    hint_mean: float = 0
    cost_mean: float = 0
    hint_variance: float = 0
    covariance: float = 0
    predicted_mean: float = 0
    observed_mean: float = 0

    @property
    def bias(self) -> float:
        """Ratio of actual to predicted costs; 1 while none is known."""
        return (
            self.observed_mean / self.predicted_mean
            if self.predicted_mean
            else 1
        )

    def predict(self, hint_log: float) -> float:
        """Predict the logarithm of the cost by regression on the hint.

        Accurate hints get the slope 1 (only the ratio of cost to hint
        counts); uninformative hints get the slope 0 (the mean cost counts).
        """
        slope = (self.covariance + PRIOR_HINT_VARIANCE * PRIOR_SLOPE) / (
            self.hint_variance + PRIOR_HINT_VARIANCE
        )
        slope = min(1, max(0, slope))
        return self.cost_mean + slope * (hint_log - self.hint_mean)

    def estimate(self, hint_log: float) -> float:
        """Predict the logarithm of the cost, corrected for the bias."""
        return self.predict(hint_log) + math.log(self.bias)

    def learn(self, hint_log: float, cost_log: float) -> None:
        """Update the statistics with an observation."""
        self.observations += 1
        weight = max(LEARNING_WEIGHT, 1 / self.observations)
        if self.observations > 1:
            self.update_bias(math.exp(self.predict(hint_log)), cost_log)
        hint_deviation = hint_log - self.hint_mean
        cost_deviation = cost_log - self.cost_mean
        self.hint_mean += weight * hint_deviation
        self.cost_mean += weight * cost_deviation
        decay = 1 - weight
        self.hint_variance = decay * (
            self.hint_variance + weight * hint_deviation * hint_deviation
        )
        self.covariance = decay * (
            self.covariance + weight * hint_deviation * cost_deviation
        )

    def update_bias(self, predicted: float, cost_log: float) -> None:
        """Update the bias with a predicted cost and the actual one."""
        weight = max(LEARNING_WEIGHT, 1 / self.observations)
        self.predicted_mean += weight * (predicted - self.predicted_mean)
        self.observed_mean += weight * (math.exp(cost_log) - self.observed_mean)


class CostEstimator:
    """Learns for each account of one service how its hints relate to costs.

    Accounts with few observations are estimated mainly from the statistics
    of all accounts. Before any observation, all requests are estimated by
    the smallest hint so far. The hint of a model request is the limit of its
    response length and usually too high: if it were charged, the service that
    an account gets would depend on its hints. Charges that are too high also
    lift the accounts that become backlogged meanwhile, which the settlement
    does not undo.

    Attributes:
        statistics: Statistics of each account.
        common: Statistics of all accounts together.
        smallest_hint: Smallest hint before the first observation.
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
        account_statistics = self.statistics.get(account)
        if account_statistics is None:
            return math.exp(common)
        account_weight = account_statistics.observations / (
            account_statistics.observations + COMMON_WEIGHT_OBSERVATIONS
        )
        return math.exp(
            account_weight * account_statistics.estimate(hint_log)
            + (1 - account_weight) * common,
        )

    def learn(self, account: AccountId, hint: float, cost: float) -> None:
        """Record the actual cost of a request that was served."""
        if account not in self.statistics:
            self.statistics[account] = CostStatistics()
        self.statistics[account].learn(to_log(hint), to_log(cost))
        self.common.learn(to_log(hint), to_log(cost))

    def retain(self, accounts: set[AccountId]) -> None:
        """Drop the statistics of accounts that no longer exist."""
        for account in self.statistics.keys() - accounts:
            self.statistics.pop(account)


def to_log(amount: float) -> float:
    """Return the logarithm of a cost, at least that of `MIN_COST`."""
    return math.log(max(amount, MIN_COST))
