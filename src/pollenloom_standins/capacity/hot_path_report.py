"""Text report of a hot path experiment."""

from collections.abc import Iterator

from pollenloom_standins.capacity.hot_path_experiment import (
    HotPathExperiment,
    Quantity,
)

MICROSECONDS_PER_SECOND = 1e6
PERCENT = 100
MEBIBYTE = 2**20


def report_lines(experiment: HotPathExperiment) -> Iterator[str]:
    """Return the lines of the report.

    With several versions, the last is compared with the first.
    """
    labels = tuple(experiment.fleets)
    for label, rates in experiment.idle_rates.items():
        shares = ', '.join(f'{PERCENT * rate:.2f}%' for rate in rates.values())
        yield f'{label}: idle routers use {shares} of a core'
        sizes = [size / MEBIBYTE for size in experiment.memory_bytes[label]]
        memory = ', '.join(f'{size:.1f}' for size in sizes)
        yield f'{label}: routers hold {memory} MiB'
    for quantity in measured_quantities(experiment):
        yield f'{quantity.value}:'
        for label in labels:
            yield from version_lines(experiment, label, quantity)
        if len(labels) > 1:
            yield ratio_line(experiment, labels[0], labels[-1], quantity)


def measured_quantities(experiment: HotPathExperiment) -> list[Quantity]:
    """Return the quantities with measurements, in the order of the enum."""
    measured = {quantity for _, quantity in experiment.measurements}
    return [quantity for quantity in Quantity if quantity in measured]


def ratio_line(
    experiment: HotPathExperiment,
    before: str,
    after: str,
    quantity: Quantity,
) -> str:
    """Compare the slopes and the concurrent measurements of two versions."""
    slopes = [
        experiment.fit(label, quantity).slope for label in (before, after)
    ]
    paired_ratio = experiment.median_ratio(before, after, quantity)
    return (
        f'  after to before: slopes {slopes[1] / slopes[0]:.3f}, '
        f'median of pairs {paired_ratio:.3f}'
    )


def version_lines(
    experiment: HotPathExperiment,
    label: str,
    quantity: Quantity,
) -> Iterator[str]:
    """Report the slope of one version and the range of its measurements."""
    fit = experiment.fit(label, quantity)
    sizes = experiment.measurements[label, quantity]
    spread = ', '.join(
        f'{size}: {MICROSECONDS_PER_SECOND * min(used) / size:.1f}'
        f'-{MICROSECONDS_PER_SECOND * max(used) / size:.1f}'
        for size, used in sizes.items()
    )
    yield (
        f'  {label}: slope {MICROSECONDS_PER_SECOND * fit.slope:.1f} us, '
        f'base {MICROSECONDS_PER_SECOND * fit.base:.0f} us '
        f'(us each by size: {spread})'
    )
