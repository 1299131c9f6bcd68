"""Columns of the tables of results."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import median
from typing import Final

from pollenloom_standins.experiment.results import RunResult

# Curves have two points per second: windows of 5 s, after the first 3 s.
WINDOW_STEPS: Final = 10
SETTLE_STEPS: Final = 6
ReadFigure = Callable[[RunResult], float]


@dataclass(frozen=True)
class TableColumn:
    """Column with one figure of each run.

    Attributes:
        title: Heading of the column.
        read: Returns the figure of a result.
        digits: Digits after the decimal point.
    """

    title: str
    read: ReadFigure
    digits: int = 2

    def cell(self, results: Sequence[RunResult]) -> str:
        """Return the median of the results, and the range if they differ."""
        numbers = [self.read(result) for result in results]
        middle = f'{median(numbers):.{self.digits}f}'
        low = f'{min(numbers):.{self.digits}f}'
        high = f'{max(numbers):.{self.digits}f}'
        return middle if low == high else f'{middle} [{low} to {high}]'


def gap_column(window_index: int, seconds: int) -> TableColumn:
    """Return the column of the median gap for one length of window.

    `window_index` is the index of the length in a result's gaps, `seconds` is
    the length.
    """
    return TableColumn(
        f'gap {seconds} s',
        lambda result: result.gaps[window_index].median_gap,
        0,
    )


def overload_gap(result: RunResult) -> float:
    """Return the median gap of the large and flooding accounts over 5 s.

    It needs no backlog, so it also covers policies that let no request wait.
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
    """Return the column of a figure that is specific to an experiment."""
    return TableColumn(
        name.replace('_', ' '),
        lambda result: result.figures[name],
        digits,
    )
