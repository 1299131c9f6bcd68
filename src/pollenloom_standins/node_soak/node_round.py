"""One round: a fresh site under load and faults."""

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from pollenloom_standins.node_soak.node_ground import NodeGround
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.site_trouble import SiteTrouble
from pollenloom_standins.node_soak.trouble_table import TROUBLES
from pollenloom_standins.soak.soak_fleet import PlayedRound

FIRST_SECONDS: Final = 1.0
ROUND_SECONDS: Final = 14.0
FEWEST_FAULTS: Final = 4
MOST_FAULTS: Final = 9
SHORTEST_FAULT_SECONDS: Final = 0.2
LONGEST_FAULT_SECONDS: Final = 4.0
# Calls of this time at the end must be served.
SETTLE_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class PlannedNodeFault:
    """A fault; times in seconds."""

    trouble: SiteTrouble
    at: float
    seconds: float


def draw_plan(seed: int) -> tuple[PlannedNodeFault, ...]:
    """Return faults that follow and overlap each other."""
    draw = random.Random(f'plan {seed}')
    count = draw.randint(FEWEST_FAULTS, MOST_FAULTS)
    return tuple(
        PlannedNodeFault(
            draw.choice(TROUBLES),
            draw.uniform(FIRST_SECONDS, ROUND_SECONDS),
            draw.uniform(SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS),
        )
        for _ in range(count)
    )


async def run_node_round(
    seed: int,
    directory: Path,
) -> PlayedRound[NodeHistory]:
    """Play a round; logs stay in the directory."""
    directory.mkdir(parents=True, exist_ok=True)
    history = NodeHistory(seed=seed)
    ground = NodeGround(history, directory.resolve())
    async with ground:
        await asyncio.gather(
            *(happen(ground, fault) for fault in draw_plan(seed)),
        )
        await asyncio.sleep(SETTLE_SECONDS)
    return PlayedRound(history, ground.troubles)


async def happen(ground: NodeGround, fault: PlannedNodeFault) -> None:
    """Let one fault happen at its time."""
    await asyncio.sleep(fault.at)
    await fault.trouble.run(ground, fault.seconds)
