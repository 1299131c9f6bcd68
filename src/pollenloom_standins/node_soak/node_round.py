"""One round: a fresh site under load and faults."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import msgspec

from pollenloom_standins.node_soak.node_checkers import CHECKERS
from pollenloom_standins.node_soak.node_faults import FAULTS, NodeFaultKind
from pollenloom_standins.node_soak.node_ground import NodeGround
from pollenloom_standins.node_soak.node_history import NodeHistory

FIRST_SECONDS: Final = 1.0
ROUND_SECONDS: Final = 14.0
FEWEST_FAULTS: Final = 4
MOST_FAULTS: Final = 9
SHORTEST_FAULT_SECONDS: Final = 0.2
LONGEST_FAULT_SECONDS: Final = 4.0
# Calls of this time at the end must be served.
SETTLE_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault; times in seconds."""

    kind: NodeFaultKind
    at: float
    seconds: float


@dataclass(slots=True)
class NodeRoundResult:
    """What a round showed."""

    history: NodeHistory
    violations: dict[str, list[str]] = field(default_factory=dict)
    troubles: list[str] = field(default_factory=list)

    @property
    def summary(self) -> str:
        """Calls and faults in one line."""
        statuses = Counter(call.status for call in self.history.calls)
        told = ', '.join(
            f'{status}: {count}' for status, count in sorted(statuses.items())
        )
        faults = ', '.join(fault.kind for fault in self.history.faults)
        return f'{told}; {faults}'


def draw_plan(seed: int) -> tuple[PlannedFault, ...]:
    """Return faults that follow and overlap each other."""
    draw = random.Random(f'plan {seed}')
    count = draw.randint(FEWEST_FAULTS, MOST_FAULTS)
    return tuple(
        PlannedFault(
            draw.choice(FAULTS),
            draw.uniform(FIRST_SECONDS, ROUND_SECONDS),
            draw.uniform(SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS),
        )
        for _ in range(count)
    )


async def run_node_round(seed: int, directory: Path) -> NodeRoundResult:
    """Run a round; logs and a broken history stay in the directory."""
    directory.mkdir(parents=True, exist_ok=True)
    history = NodeHistory(seed=seed)
    ground = NodeGround(history, directory.resolve())
    async with ground:
        await asyncio.gather(
            *(happen(ground, fault) for fault in draw_plan(seed)),
        )
        await asyncio.sleep(SETTLE_SECONDS)
    result = NodeRoundResult(history, troubles=ground.troubles)
    for checker in CHECKERS:
        found = list(checker.violations(history))
        if found:
            result.violations[checker.name] = found
    if result.violations:
        path = directory / 'history.json'
        path.write_bytes(msgspec.json.encode(history))
    return result


async def happen(ground: NodeGround, fault: PlannedFault) -> None:
    """Let one fault happen at its time."""
    await asyncio.sleep(fault.at)
    await fault.kind.run(ground, fault.seconds)
