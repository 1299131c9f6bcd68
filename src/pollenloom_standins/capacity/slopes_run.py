"""Entry point of the slope measurements."""

import os
import sys

from pollenloom_standins.capacity.admission_slopes import measure_admission
from pollenloom_standins.capacity.configuration_slopes import (
    measure_configuration,
)
from pollenloom_standins.capacity.move_evaluation_slopes import (
    measure_move_evaluation,
)
from pollenloom_standins.capacity.order_slopes import (
    measure_batches,
    measure_index,
)
from pollenloom_standins.capacity.owner_slopes import measure_owner
from pollenloom_standins.capacity.tick_slopes import measure_ticks


def measure_slopes() -> None:
    """Measure all slopes and print the load averages and the tables."""
    loads = ', '.join(f'{load:.1f}' for load in os.getloadavg())
    write(f'{os.cpu_count()} processors, load averages {loads}')
    for measure in (
        measure_configuration,
        measure_owner,
        measure_ticks,
        measure_move_evaluation,
        measure_admission,
        measure_batches,
        measure_index,
    ):
        for line in measure().lines():
            write(line)


def write(line: str) -> None:
    """Print a line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
