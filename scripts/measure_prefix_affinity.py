"""Measures cache hits and times to first token, with and without affinity.

Needs `src` in PYTHONPATH. Prints one row of a table for each case.
"""

import asyncio

from pollenloom_standins.affinity.affinity_case import CASES
from pollenloom_standins.affinity.affinity_experiment import (
    measure,
    print_result,
)

if __name__ == '__main__':
    for case in CASES:
        print_result(asyncio.run(measure(case)))
