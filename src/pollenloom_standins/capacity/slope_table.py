"""Tables of measurements at several sizes, with fitted slopes."""

import tracemalloc
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from time import process_time
from typing import TypeVar

from pollenloom_standins.capacity.linear_fit import LinearFit

ObjectT = TypeVar('ObjectT')
REPEATS = 5


@dataclass
class SlopeTable:
    """Measurements of several quantities at several sizes.

    Attributes:
        title: What is measured.
        size_name: What the size counts, in the plural.
        rows: Measured figures by quantity name, for each size.
    """

    title: str
    size_name: str
    rows: dict[int, Mapping[str, float]] = field(default_factory=dict)

    def lines(self) -> Iterator[str]:
        """Return the table as text, with a fitted slope for each quantity."""
        yield f'\n{self.title}'
        for size, row in self.rows.items():
            figures = ', '.join(
                f'{name} {figure:.1f}' for name, figure in row.items()
            )
            yield f'  {size} {self.size_name}: {figures}'
        for name in next(iter(self.rows.values())):
            fit = LinearFit.from_points(
                [
                    (count, measured[name])
                    for count, measured in self.rows.items()
                ],
            )
            yield (
                f'  slope of {name}: {fit.slope:.4g} for each of '
                f'{self.size_name}, base {fit.base:.4g}'
            )


def minimum_seconds(work: Callable[[], object]) -> float:
    """Return the minimum processor time of `REPEATS` runs, in seconds.

    Other processes on the machine can only increase the time of a run.
    """
    timestamps = [process_time()]
    for _ in range(REPEATS):
        work()
        timestamps.append(process_time())
    return min(end - start for start, end in pairwise(timestamps))


def measure_memory(create: Callable[[], ObjectT]) -> tuple[ObjectT, int]:
    """Create an object; return it and the bytes allocated for it."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    created = create()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return created, after - before
