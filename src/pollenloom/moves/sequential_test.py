"""Sequential probability ratio test of a new version against the old one.

Source: A. Wald, Sequential Tests of Statistical Hypotheses, Annals of
Mathematical Statistics 16 (1945), 117-186.
"""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pollenloom.moves.evidence_verdict import EvidenceVerdict

if TYPE_CHECKING:
    from pollenloom.moves.version_counts import VersionCounts

# Probability that a good version is reverted, over a whole move.
FALSE_ALARM_RATE: Final = 0.01
# Probability that a bad version passes one stage.
MISS_RATE: Final = 0.05
# A version counts as bad if its rate of bad responses exceeds that of the old
# version by this much.
HARMFUL_INCREASE: Final = 0.1
# Prior for the rate of the old version: 1 bad response in 40.
PRIOR_BAD_RESPONSES: Final = 1.0
PRIOR_REQUESTS: Final = 40.0
# Highest rate that is assumed for a bad version; at a rate of 1, the logarithm
# of the rate of good responses is undefined.
MAX_BAD_RATE: Final = 0.95


@dataclass(frozen=True, slots=True)
class SequentialTest:
    """Tests one route in one stage.

    Attributes:
        false_alarm_rate: Probability of the verdict BAD for a good version.
        miss_rate: Probability of the verdict GOOD for a bad version.
    """

    false_alarm_rate: float
    miss_rate: float = MISS_RATE

    def log_likelihood_ratio(
        self,
        old: 'VersionCounts',
        new: 'VersionCounts',
    ) -> float:
        """Return how much more likely the counts are if `new` is bad.

        The natural logarithm of the likelihood ratio; 0 without evidence.
        """
        rate = (old.bad + PRIOR_BAD_RESPONSES) / (old.requests + PRIOR_REQUESTS)
        good_rate = min(rate, MAX_BAD_RATE - HARMFUL_INCREASE)
        bad_rate = good_rate + HARMFUL_INCREASE
        bad_term = new.bad * math.log(bad_rate / good_rate)
        good = max(new.requests - new.bad, 0)
        good_term = good * math.log((1 - bad_rate) / (1 - good_rate))
        return bad_term + good_term

    def verdict(
        self,
        old: 'VersionCounts',
        new: 'VersionCounts',
    ) -> EvidenceVerdict:
        """Return the verdict on the new version, given both counts."""
        ratio = self.log_likelihood_ratio(old, new)
        if ratio >= math.log((1 - self.miss_rate) / self.false_alarm_rate):
            return EvidenceVerdict.BAD
        if ratio <= math.log(self.miss_rate / (1 - self.false_alarm_rate)):
            return EvidenceVerdict.GOOD
        return EvidenceVerdict.UNDECIDED


def spent_false_alarm_rate(total: float, test_number: int) -> float:
    """Return the share of a false alarm rate that one test of many may spend.

    The shares of tests 0, 1, 2, ... add up to `total`, so that the rate holds
    for a whole move however many stages and routes are tested.
    """
    return total / ((test_number + 1) * (test_number + 2))
