"""Report of the slopes of the hot path."""

from collections.abc import Iterator

from pollenloom_standins.capacity.hot_path_experiment import (
    HotPathExperiment,
    Quantity,
)

MICROSECONDS = 1e6
PERCENT = 100
MEBIBYTE = 2**20


def report_lines(experiment: HotPathExperiment) -> Iterator[str]:
    """Return the slopes of all versions and ratios of the last to the first."""
    labels = tuple(experiment.fleets)
    for label, rates in experiment.idle.items():
        shares = ', '.join(f'{PERCENT * rate:.2f}%' for rate in rates.values())
        yield f'{label}: idle routers use {shares} of a core'
        sizes = [used / MEBIBYTE for used in experiment.memory[label]]
        held = ', '.join(f'{size:.1f}' for size in sizes)
        yield f'{label}: routers hold {held} MiB'
    for quantity in measured(experiment):
        yield f'{quantity.value}:'
        for label in labels:
            yield from version_lines(experiment, label, quantity)
        if len(labels) > 1:
            yield ratio_line(experiment, labels[0], labels[-1], quantity)


def measured(experiment: HotPathExperiment) -> list[Quantity]:
    """Return the quantities that were measured."""
    known = {quantity for _, quantity in experiment.points}
    return [quantity for quantity in Quantity if quantity in known]


def ratio_line(
    experiment: HotPathExperiment,
    before: str,
    after: str,
    quantity: Quantity,
) -> str:
    """Return the ratios of two versions."""
    slopes = [
        experiment.fit(label, quantity).slope for label in (before, after)
    ]
    pairs = experiment.ratio(before, after, quantity)
    return (
        f'  after to before: slopes {slopes[1] / slopes[0]:.3f}, '
        f'median of pairs {pairs:.3f}'
    )


def version_lines(
    experiment: HotPathExperiment,
    label: str,
    quantity: Quantity,
) -> Iterator[str]:
    """Return slope and measured sizes of one version."""
    fit = experiment.fit(label, quantity)
    sizes = experiment.points[label, quantity]
    spread = ', '.join(
        f'{size}: {MICROSECONDS * min(used) / size:.1f}'
        f'-{MICROSECONDS * max(used) / size:.1f}'
        for size, used in sizes.items()
    )
    yield (
        f'  {label}: slope {MICROSECONDS * fit.slope:.1f} us, '
        f'base {MICROSECONDS * fit.base:.0f} us (us each by size: {spread})'
    )
