"""Schedule of the faults of a round, drawn from a seed."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Final

from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.soak.fault_table import FAULTS
from pollenloom_standins.soak.round_environment import RoundEnvironment

FAULT_SLOTS: Final = 3
SLOT_INTERVAL_SECONDS: Final = 6.0
FIRST_FAULT_SECONDS: Final = 2.0
PAIR_SHARE: Final = 0.5
# The second fault of a pair begins within this time after the first one.
PAIR_INTERVAL_SECONDS: Final = 2.0


@dataclass(frozen=True)
class PlannedFault:
    """A fault of the schedule.

    Attributes:
        kind: Kind of the fault.
        at: Seconds after the start of the load.
        seconds: Duration.
    """

    kind: FaultKind
    at: float
    seconds: float


def draw_schedule(seed: int) -> tuple[PlannedFault, ...]:
    """Return the faults of all slots, one or a pair in each."""
    random_source = random.Random(f'schedule {seed}')
    planned = []
    for slot in range(FAULT_SLOTS):
        at = FIRST_FAULT_SECONDS + slot * SLOT_INTERVAL_SECONDS
        count = 2 if random_source.random() < PAIR_SHARE else 1
        for kind in random_source.sample(list(FAULTS), count):
            shortest, longest = FAULTS[kind].seconds
            length = random_source.uniform(shortest, longest)
            planned.append(PlannedFault(kind, at, length))
            at += random_source.uniform(0, PAIR_INTERVAL_SECONDS)
    return tuple(planned)


async def run_schedule(
    environment: RoundEnvironment,
    schedule: tuple[PlannedFault, ...],
) -> None:
    """Inject and remove all faults at their times."""
    await asyncio.gather(*(run_fault(environment, fault) for fault in schedule))


async def run_fault(
    environment: RoundEnvironment, planned: PlannedFault
) -> None:
    """Inject and remove one fault at its time and record it."""
    await asyncio.sleep(planned.at)
    fault = FAULTS[planned.kind]
    target = await fault.choose(environment)
    if target is None:
        environment.schedule_problems.append(
            f'{planned.kind.value}: no free target'
        )
        return
    environment.busy.add(target)
    record = FaultRecord(
        kind=planned.kind,
        target=target,
        started=time.time(),
    )
    environment.history.faults.append(record)
    await fault.begin(environment, record)
    await asyncio.sleep(planned.seconds)
    record.ended = time.time()
    await fault.end(environment, record)
    record.recovered = time.time()
    environment.busy.discard(target)
