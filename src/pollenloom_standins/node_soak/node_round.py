"""A round: a fresh environment under load and faults."""

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from pollenloom_standins.node_soak.backend_faults import BackendLimit
from pollenloom_standins.node_soak.fault_table import FAULTS
from pollenloom_standins.node_soak.injected_fault import InjectedFault
from pollenloom_standins.node_soak.node_history import (
    DEFAULT_NODES,
    NodeHistory,
)
from pollenloom_standins.node_soak.node_round_environment import (
    NodeRoundEnvironment,
)
from pollenloom_standins.node_soak.store_faults import StoreRestore
from pollenloom_standins.soak.soak_fleet import FinishedRound

FIRST_FAULT_SECONDS: Final = 1.0
ROUND_SECONDS: Final = 14.0
# A limit lasts for about half of a round.
LAST_LIMIT_SECONDS: Final = 7.0
MIN_FAULTS: Final = 4
MAX_FAULTS: Final = 9
MIN_FAULT_SECONDS: Final = 0.2
MAX_FAULT_SECONDS: Final = 4.0
# Time without new faults at the end, in which calls must be served.
SETTLE_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class PlannedNodeFault:
    """A fault of the plan.

    Attributes:
        fault: Fault to inject.
        at: Seconds after the start of the round.
        seconds: Duration.
    """

    fault: InjectedFault
    at: float
    seconds: float


def draw_plan(seed: int) -> tuple[PlannedNodeFault, ...]:
    """Return random faults, which may overlap."""
    random_source = random.Random(f'plan {seed}')
    count = random_source.randint(MIN_FAULTS, MAX_FAULTS)
    # Has its own source, so that the seeds draw the other faults as before.
    limit_source = random.Random(f'limit {seed}')
    limit = PlannedNodeFault(
        BackendLimit(),
        limit_source.uniform(FIRST_FAULT_SECONDS, LAST_LIMIT_SECONDS),
        limit_source.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
    )
    restore_source = random.Random(f'restore {seed}')
    restore = PlannedNodeFault(
        StoreRestore(),
        restore_source.uniform(FIRST_FAULT_SECONDS, ROUND_SECONDS),
        restore_source.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
    )
    return (
        limit,
        restore,
        *(
            PlannedNodeFault(
                random_source.choice(FAULTS),
                random_source.uniform(FIRST_FAULT_SECONDS, ROUND_SECONDS),
                random_source.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
            )
            for _ in range(count)
        ),
    )


async def run_node_round(
    seed: int,
    directory: Path,
    node_count: int = DEFAULT_NODES,
) -> FinishedRound[NodeHistory]:
    """Run a round; logs stay in the directory."""
    directory.mkdir(parents=True, exist_ok=True)
    history = NodeHistory(seed=seed, node_count=node_count)
    environment = NodeRoundEnvironment(history, directory.resolve())
    async with environment:
        await asyncio.gather(
            *(
                run_planned_fault(environment, planned)
                for planned in draw_plan(seed)
            ),
        )
        await asyncio.sleep(SETTLE_SECONDS)
    return FinishedRound(history, environment.schedule_problems)


async def run_planned_fault(
    environment: NodeRoundEnvironment, planned: PlannedNodeFault
) -> None:
    """Inject and remove one fault at its time."""
    await asyncio.sleep(planned.at)
    await planned.fault.run(environment, planned.seconds)
