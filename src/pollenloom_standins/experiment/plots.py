"""Plots results to image files."""

from collections.abc import Sequence
from pathlib import Path
from statistics import median
from typing import Any, Final

import matplotlib as mpl

from pollenloom_standins.experiment.results import RunResult
from pollenloom_standins.experiment.table_column import TableColumn
from pollenloom_standins.experiment.tables import (
    BUSY_WHILE_WAITING,
    OVERLOAD_GAP,
    TABLES,
)

# Renders to files without a display.
mpl.use('Agg')

# Time between two points of a curve.
CURVE_SECONDS: Final = 0.5
DOTS_PER_INCH: Final = 70
BAR_SIZE_INCHES: Final = (6, 2.8)
CURVE_SIZE_INCHES: Final = (3, 2.8)
LEGEND_FONT_POINTS: Final = 7


def write_plots(results: Sequence[RunResult], directory: Path) -> None:
    """Write the plots of all experiments with results to a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    for workload in sorted({result.workload for result in results}):
        workload_results = [
            result for result in results if result.workload == workload
        ]
        fairness_results = [
            result
            for result in workload_results
            if result.experiment == 'fairness'
        ]
        if fairness_results:
            write_curves(
                fairness_results, directory / f'service-{workload}.png'
            )
            path = directory / f'gap-{workload}.png'
            write_bars(fairness_results, OVERLOAD_GAP, path)
            write_bars(
                fairness_results,
                BUSY_WHILE_WAITING,
                directory / f'busy-{workload}.png',
            )
        for experiment, groups in TABLES.items():
            experiment_results = [
                result
                for result in workload_results
                if result.experiment == experiment
            ]
            if experiment_results and experiment != 'fairness':
                path = directory / f'{experiment}-{workload}.png'
                write_bars(experiment_results, groups[0][0], path)


def write_bars(
    results: Sequence[RunResult],
    column: TableColumn,
    path: Path,
) -> None:
    """Plot the median and the range over the seeds of each variant."""
    from matplotlib import pyplot as plt

    variants = list(dict.fromkeys(result.variant for result in results))
    values_by_variant = [
        [column.read(result) for result in results if result.variant == variant]
        for variant in variants
    ]
    medians = [median(values) for values in values_by_variant]
    below = [median(values) - min(values) for values in values_by_variant]
    above = [max(values) - median(values) for values in values_by_variant]
    figure, axes = plt.subplots(figsize=BAR_SIZE_INCHES)
    axes.barh(variants, medians, xerr=(below, above), capsize=3)
    axes.invert_yaxis()
    axes.set_xlabel(column.title)
    axes.set_title(f'{results[0].experiment}, {results[0].workload}')
    save_figure(figure, path)


def write_curves(results: Sequence[RunResult], path: Path) -> None:
    """Plot cumulative tokens / share over time, one panel per variant.

    Only results with the seed of the first one are plotted.
    """
    from matplotlib import pyplot as plt

    first_seed_results = [
        result for result in results if result.seed == results[0].seed
    ]
    width = CURVE_SIZE_INCHES[0] * len(first_seed_results)
    figure, panels = plt.subplots(
        1,
        len(first_seed_results),
        figsize=(width, CURVE_SIZE_INCHES[1]),
        sharey=True,
        squeeze=False,
    )
    for axes, result in zip(panels[0], first_seed_results, strict=True):
        for account, curve in result.curves.items():
            times = [number * CURVE_SECONDS for number in range(len(curve))]
            axes.plot(times, curve, label=account)
        axes.set_title(result.variant)
        axes.set_xlabel('s')
    panels[0][0].set_ylabel('tokens / share')
    panels[0][0].legend(fontsize=LEGEND_FONT_POINTS)
    save_figure(figure, path)


def save_figure(figure: Any, path: Path) -> None:
    """Write a figure to a file at low resolution, and close it."""
    from matplotlib import pyplot as plt

    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
