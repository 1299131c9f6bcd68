"""Test that notices when responses of a new version become bad.

Source: E. S. Page, Continuous Inspection Schemes, Biometrika 41 (1954),
100-115.
"""

from collections.abc import Mapping
from typing import Final

from pollenloom.core.ids import ResponseClass, VersionId
from pollenloom.moves.response_class import (
    ResponsePhase,
    class_in_group,
    compared_groups,
)
from pollenloom.moves.sequential_test import FALSE_ALARM_RATE, SequentialTest
from pollenloom.moves.version_counts import VersionCounts

# Log likelihood ratio at which a version is bad: a good one reaches it in fewer
# than one of 3,000 responses.
BAD_RATIO: Final = 8.0
# Ratio from which on a version is not accepted.
SUSPECT_RATIO: Final = BAD_RATIO / 2


class ChangeTest:
    """Cumulative sums of the evidence, for each route and phase and in total.

    A sum never falls below zero, so that earlier good responses do not hide a
    version that becomes bad.

    Attributes:
        to_version: Version that is tested.
        highest: Highest count seen of each class; the counts of a router that
            stops are missing from later totals.
        sums: Log likelihood ratio by route and phase.
        total: That of all routes and phases together.
    """

    def __init__(self, to_version: VersionId) -> None:
        self.to_version = to_version
        self.highest: dict[ResponseClass, float] = {}
        self.sums: dict[str, float] = {}
        self.total: float = 0

    def observe(self, counts: Mapping[ResponseClass, float]) -> None:
        """Add the responses that are new in the counts of the fleet."""
        ratio: float = 0
        for group in sorted(compared_groups(counts, self.to_version)):
            new_good = self.increase(
                class_in_group(group, 'new', 'good'), counts
            )
            new_bad = self.increase(class_in_group(group, 'new', 'bad'), counts)
            group_ratio = self.ratio(group, counts, new_good, new_bad)
            self.sums[group] = max(0, self.sums.get(group, 0) + group_ratio)
            ratio += group_ratio
        self.total = max(0, self.total + ratio)

    def increase(
        self, name: ResponseClass, counts: Mapping[ResponseClass, float]
    ) -> int:
        """Return the responses of a class that were not seen before."""
        earlier = self.highest.get(name, 0)
        count = counts.get(name, 0)
        self.highest[name] = max(earlier, count)
        return round(max(0, count - earlier))

    def ratio(
        self,
        group: str,
        counts: Mapping[ResponseClass, float],
        good: int,
        bad: int,
    ) -> float:
        """Return the evidence in further responses of the new version."""
        old_good = counts.get(class_in_group(group, 'old', 'good'), 0)
        old_bad = counts.get(class_in_group(group, 'old', 'bad'), 0)
        return SequentialTest(FALSE_ALARM_RATE).log_likelihood_ratio(
            VersionCounts(round(old_good + old_bad), round(old_bad)),
            VersionCounts(good + bad, bad),
        )

    @property
    def largest(self) -> float:
        """Largest evidence against the new version."""
        return max(self.total, *self.sums.values(), 0)

    @property
    def is_bad(self) -> bool:
        """Whether the new version is bad."""
        return self.largest >= BAD_RATIO

    @property
    def is_suspect(self) -> bool:
        """Whether the new version may be bad."""
        return self.largest >= SUSPECT_RATIO

    @property
    def responses(self) -> float:
        """Responses of the new version that were judged."""
        suffix = f' {ResponsePhase.FIRST_BYTE.value} new'
        return sum(
            count
            for name, count in self.highest.items()
            if name.rsplit(' ', 1)[0].endswith(suffix)
        )
