"""Tables of measurements at several sizes, with their slopes."""

import tracemalloc
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from time import process_time
from typing import TypeVar

from pollenloom_standins.capacity.linear_fit import LinearFit

MadeT = TypeVar('MadeT')
REPEATS = 5


@dataclass
class SlopeTable:
    """Measurements of several quantities over one size.

    Attributes:
        title: What is measured.
        size_name: What the size counts.
        rows: Figures by the name of the quantity, for each size.
    """

    title: str
    size_name: str
    rows: dict[int, Mapping[str, float]] = field(default_factory=dict)

    def lines(self) -> Iterator[str]:
        """Return the table and a fitted slope for each quantity."""
        yield f'\n{self.title}'
        for size, row in self.rows.items():
            figures = ', '.join(
                f'{name} {figure:.1f}' for name, figure in row.items()
            )
            yield f'  {size} {self.size_name}: {figures}'
        for name in next(iter(self.rows.values())):
            fit = LinearFit.from_points(
                [(count, taken[name]) for count, taken in self.rows.items()],
            )
            yield (
                f'  slope of {name}: {fit.slope:.4g} for each of '
                f'{self.size_name}, base {fit.base:.4g}'
            )


def least_seconds(work: Callable[[], object]) -> float:
    """Return the least processor time of some runs of the work.

    Other processes on the machine can only add to it.
    """
    moments = [process_time()]
    for _ in range(REPEATS):
        work()
        moments.append(process_time())
    return min(end - start for start, end in pairwise(moments))


def memory_of(make: Callable[[], MadeT]) -> tuple[MadeT, int]:
    """Make an object; return it and the bytes that it holds."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, after - before
