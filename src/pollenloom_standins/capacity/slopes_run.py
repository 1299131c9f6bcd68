"""Command line of the measurement of slopes."""

import os
import sys

from pollenloom_standins.capacity.admission_slopes import measure_admission
from pollenloom_standins.capacity.configuration_slopes import (
    measure_configuration,
)
from pollenloom_standins.capacity.judge_slopes import measure_judge
from pollenloom_standins.capacity.order_slopes import (
    measure_batches,
    measure_index,
)
from pollenloom_standins.capacity.owner_slopes import measure_owner
from pollenloom_standins.capacity.tick_slopes import measure_ticks


def measure_slopes() -> None:
    """Measure all slopes and print them."""
    loads = ', '.join(f'{load:.1f}' for load in os.getloadavg())
    write(f'{os.cpu_count()} processors, load averages {loads}')
    for measure in (
        measure_configuration,
        measure_owner,
        measure_ticks,
        measure_judge,
        measure_admission,
        measure_batches,
        measure_index,
    ):
        for line in measure().lines():
            write(line)


def write(line: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
