"""Plots of results."""

from collections.abc import Sequence
from pathlib import Path
from statistics import median
from typing import Any, Final

import matplotlib as mpl

from pollenloom_standins.experiment.results import RunResult
from pollenloom_standins.experiment.table_column import TableColumn
from pollenloom_standins.experiment.tables import BUSY, OVERLOAD_GAP, TABLES

mpl.use('Agg')

CURVE_SECONDS: Final = 0.5
DOTS_PER_INCH: Final = 70
BAR_SIZE: Final = (6, 2.8)
CURVE_SIZE: Final = (3, 2.8)
SMALL_FONT: Final = 7


def write_plots(results: Sequence[RunResult], directory: Path) -> None:
    """Write the plots of all experiments that have results."""
    directory.mkdir(parents=True, exist_ok=True)
    for workload in sorted({result.workload for result in results}):
        own = [result for result in results if result.workload == workload]
        fairness = [row for row in own if row.experiment == 'fairness']
        if fairness:
            write_curves(fairness, directory / f'service-{workload}.png')
            path = directory / f'gap-{workload}.png'
            write_bars(fairness, OVERLOAD_GAP, path)
            write_bars(fairness, BUSY, directory / f'busy-{workload}.png')
        for experiment, groups in TABLES.items():
            rows = [row for row in own if row.experiment == experiment]
            if rows and experiment != 'fairness':
                path = directory / f'{experiment}-{workload}.png'
                write_bars(rows, groups[0][0], path)


def write_bars(
    results: Sequence[RunResult],
    column: TableColumn,
    path: Path,
) -> None:
    """Write the median and the range over the seeds of each variant."""
    from matplotlib import pyplot as plt

    variants = list(dict.fromkeys(result.variant for result in results))
    numbers = [
        [column.read(row) for row in results if row.variant == variant]
        for variant in variants
    ]
    middles = [median(values) for values in numbers]
    below = [median(values) - min(values) for values in numbers]
    above = [max(values) - median(values) for values in numbers]
    figure, axes = plt.subplots(figsize=BAR_SIZE)
    axes.barh(variants, middles, xerr=(below, above), capsize=3)
    axes.invert_yaxis()
    axes.set_xlabel(column.title)
    axes.set_title(f'{results[0].experiment}, {results[0].workload}')
    save(figure, path)


def write_curves(results: Sequence[RunResult], path: Path) -> None:
    """Write tokens / share over time, one part for each variant."""
    from matplotlib import pyplot as plt

    first = [row for row in results if row.seed == results[0].seed]
    width = CURVE_SIZE[0] * len(first)
    figure, parts = plt.subplots(
        1,
        len(first),
        figsize=(width, CURVE_SIZE[1]),
        sharey=True,
        squeeze=False,
    )
    for axes, result in zip(parts[0], first, strict=True):
        for account, curve in result.curves.items():
            times = [number * CURVE_SECONDS for number in range(len(curve))]
            axes.plot(times, curve, label=account)
        axes.set_title(result.variant)
        axes.set_xlabel('s')
    parts[0][0].set_ylabel('tokens / share')
    parts[0][0].legend(fontsize=SMALL_FONT)
    save(figure, path)


def save(figure: Any, path: Path) -> None:
    """Write a figure as a small file."""
    from matplotlib import pyplot as plt

    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
