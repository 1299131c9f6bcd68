"""One round: a fresh fleet under load and faults."""

import asyncio
import tempfile
import time
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from pollenloom_standins.fleet.fleet import Fleet
from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.load_generator import LoadGenerator
from pollenloom_standins.history.promises import PROMISES
from pollenloom_standins.soak.fault_schedule import (
    PlannedFault,
    draw_schedule,
    run_schedule,
)
from pollenloom_standins.soak.ground import Ground
from pollenloom_standins.soak.link_relays import LinkRelays
from pollenloom_standins.soak.soak_plan import (
    SECTIONS,
    draw_router_plans,
    make_fleet_plan,
)

# Longer than a freeze takes to be overcome, and the bound of a configuration.
SETTLE_SECONDS: Final = 4.0


@dataclass
class RoundResult:
    """What a round showed.

    Attributes:
        history: All records.
        checked: Number of observations by promise.
        violations: What broke each promise.
        troubles: What did not go as the schedule wanted.
    """

    history: History
    checked: dict[str, int] = field(default_factory=dict)
    violations: dict[str, list[str]] = field(default_factory=dict)
    troubles: list[str] = field(default_factory=list)

    def check(self) -> None:
        """Check all promises."""
        for checker in PROMISES:
            name = checker.requirement
            self.checked[name] = checker.checked(self.history)
            found = list(checker.violations(self.history))
            if found:
                self.violations[name] = found


async def run_round(
    seed: int,
    examples: Path,
    output: Path | None,
    schedule: tuple[PlannedFault, ...] | None = None,
    sections: str = SECTIONS,
) -> RoundResult:
    """Run a round; without an output directory its logs are dropped."""
    faults = draw_schedule(seed) if schedule is None else schedule
    if output is not None:
        output.mkdir(parents=True, exist_ok=True)
        return await run_in(output.resolve(), seed, examples, faults, sections)
    with tempfile.TemporaryDirectory(prefix='pollenloom-') as directory:
        return await run_in(Path(directory), seed, examples, faults, sections)


async def run_in(
    directory: Path,
    seed: int,
    examples: Path,
    schedule: tuple[PlannedFault, ...],
    sections: str,
) -> RoundResult:
    """Run a round with settings and logs in a directory."""
    async with open_ground(directory, seed, examples, sections) as ground:
        load = LoadGenerator(ground.history, ground.routers)
        ground.collector.start()
        load.start()
        await run_schedule(ground, schedule)
        await asyncio.sleep(SETTLE_SECONDS)
        await load.stop()
        await ground.collector.stop()
        ground.history.faults.extend(await stop_routers(ground))
        result = RoundResult(ground.history, troubles=ground.troubles)
        result.check()
    return result


async def stop_routers(ground: Ground) -> list[FaultRecord]:
    """Stop all routers gracefully, as the last planned stop."""
    stops = []
    for vm, process in ground.fleet.routers.items():
        stop = FaultRecord(
            kind=FaultKind.ROUTER_RESTARTED,
            target=vm,
            started=time.time(),
        )
        stop.exit_code = await process.terminate()
        stop.ended = time.time()
        stops.append(stop)
    return stops


@asynccontextmanager
async def open_ground(
    directory: Path,
    seed: int,
    examples: Path,
    sections: str = SECTIONS,
) -> AsyncGenerator[Ground, None]:
    """Start a fleet with relays; end all its processes afterwards."""
    relays = LinkRelays(directory)
    try:
        plans = await asyncio.gather(
            *(
                relays.place_before(plan)
                for plan in draw_router_plans(seed, sections)
            ),
        )
        plan = make_fleet_plan(tuple(plans), examples)
        async with Fleet(plan, directory) as fleet:
            ground = Ground(fleet, History(seed=seed), relays, examples)
            ground.note_routers()
            yield ground
    finally:
        await relays.kill_all()
