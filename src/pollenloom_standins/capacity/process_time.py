"""Processor time and memory of other processes."""

import resource
import time
from pathlib import Path
from typing import Final

# Linux encodes the processor clock of a process as its inverted id, shifted,
# with the flag of the scheduler's clock, which counts nanoseconds.
CLOCK_SHIFT: Final = 3
SCHEDULER_CLOCK: Final = 2


def processor_seconds(pid: int) -> float:
    """Return the processor time that a running process has used."""
    return time.clock_gettime((~pid << CLOCK_SHIFT) | SCHEDULER_CLOCK)


def resident_bytes(pid: int) -> int:
    """Return the memory that a running process holds."""
    statm = Path(f'/proc/{pid}/statm').read_text('ascii')
    return int(statm.split()[1]) * resource.getpagesize()
