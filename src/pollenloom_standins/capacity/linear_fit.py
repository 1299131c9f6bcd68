"""Least squares fit of a line."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Cost as a linear function of a size.

    Attributes:
        base: Cost at size 0.
        slope: Additional cost of each unit of the size.
    """

    base: float
    slope: float

    @classmethod
    def from_points(cls, points: Sequence[tuple[float, float]]) -> 'LinearFit':
        """Fit (size, cost) points.

        Raises:
            statistics.StatisticsError: If there are fewer than two different
                sizes.
        """
        sizes, costs = zip(*points, strict=True)
        fitted = linear_regression(sizes, costs)
        return cls(base=fitted.intercept, slope=fitted.slope)
