"""Which faults happen when, drawn from a seed."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Final

from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.soak.fault_table import FAULTS
from pollenloom_standins.soak.ground import Ground

SLOTS: Final = 3
SLOT_SECONDS: Final = 6.0
FIRST_SECONDS: Final = 2.0
PAIR_SHARE: Final = 0.5
# The second fault of a pair begins within this time after the first one.
PAIR_SECONDS: Final = 2.0


@dataclass(frozen=True)
class PlannedFault:
    """One fault.

    Attributes:
        kind: What happens.
        at: Seconds after the start of the load.
        seconds: How long it lasts.
    """

    kind: FaultKind
    at: float
    seconds: float


def draw_schedule(seed: int) -> tuple[PlannedFault, ...]:
    """Return faults one after the other, some in pairs."""
    draw = random.Random(f'schedule {seed}')
    planned = []
    for slot in range(SLOTS):
        at = FIRST_SECONDS + slot * SLOT_SECONDS
        count = 2 if draw.random() < PAIR_SHARE else 1
        for kind in draw.sample(list(FAULTS), count):
            shortest, longest = FAULTS[kind].seconds
            length = draw.uniform(shortest, longest)
            planned.append(PlannedFault(kind, at, length))
            at += draw.uniform(0, PAIR_SECONDS)
    return tuple(planned)


async def run_schedule(
    ground: Ground,
    schedule: tuple[PlannedFault, ...],
) -> None:
    """Let all faults happen and end."""
    await asyncio.gather(*(run_fault(ground, fault) for fault in schedule))


async def run_fault(ground: Ground, planned: PlannedFault) -> None:
    """Let one fault happen and end."""
    await asyncio.sleep(planned.at)
    fault = FAULTS[planned.kind]
    target = await fault.choose(ground)
    if target is None:
        ground.troubles.append(f'{planned.kind.value}: nothing to act on')
        return
    ground.busy.add(target)
    record = FaultRecord(
        kind=planned.kind,
        target=target,
        started=time.time(),
    )
    ground.history.faults.append(record)
    await fault.begin(ground, record)
    await asyncio.sleep(planned.seconds)
    record.ended = time.time()
    await fault.end(ground, record)
    record.recovered = time.time()
    ground.busy.discard(target)
