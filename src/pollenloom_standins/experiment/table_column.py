"""Columns of the tables."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import median
from typing import Final

from pollenloom_standins.experiment.results import RunResult

# Curves have two points a second: windows of 5 s after the first 3 s.
WINDOW_STEPS: Final = 10
SETTLE_STEPS: Final = 6
ReadFigure = Callable[[RunResult], float]


@dataclass(frozen=True)
class TableColumn:
    """One figure of a run.

    Attributes:
        title: Heading.
        read: Returns the figure.
        digits: Digits after the point.
    """

    title: str
    read: ReadFigure
    digits: int = 2

    def cell(self, results: Sequence[RunResult]) -> str:
        """Return the median and the range over the seeds."""
        numbers = [self.read(result) for result in results]
        middle = f'{median(numbers):.{self.digits}f}'
        low = f'{min(numbers):.{self.digits}f}'
        high = f'{max(numbers):.{self.digits}f}'
        return middle if low == high else f'{middle} [{low} to {high}]'


def gap_column(window: int, seconds: int) -> TableColumn:
    """Return the median gap of the windows of one length."""
    return TableColumn(
        f'gap {seconds} s',
        lambda result: result.gaps[window].median_gap,
        0,
    )


def overload_gap(result: RunResult) -> float:
    """Return the median gap of the accounts that ask for more than is due.

    It holds for policies that let nothing wait, too.
    """
    curves = tuple(result.curves.values())
    length = min(map(len, curves))
    gaps: list[float] = []
    for start in range(SETTLE_STEPS, length - WINDOW_STEPS):
        end = start + WINDOW_STEPS
        service = [curve[end] - curve[start] for curve in curves]
        gaps.append(max(service) - min(service))
    return median(gaps)


def figure_column(name: str, digits: int = 2) -> TableColumn:
    """Return a figure that only some experiments have."""
    return TableColumn(
        name.replace('_', ' '),
        lambda result: result.figures[name],
        digits,
    )
