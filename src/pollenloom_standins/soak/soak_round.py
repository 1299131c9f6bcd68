"""A round: a fresh fleet under load and faults."""

import asyncio
import time
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

from pollenloom_standins.fleet.process_fleet import ProcessFleet
from pollenloom_standins.history.closed_loop_load_generator import (
    ClosedLoopLoadGenerator,
)
from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.soak.fault_schedule import (
    draw_schedule,
    run_schedule,
)
from pollenloom_standins.soak.link_relays import LinkRelays
from pollenloom_standins.soak.round_environment import RoundEnvironment
from pollenloom_standins.soak.soak_fleet import FinishedRound
from pollenloom_standins.soak.soak_plan import (
    SECTIONS,
    draw_router_plans,
    make_fleet_plan,
)

# Longer than the recovery from a freeze, and than the time in which a
# configuration must take effect.
SETTLE_SECONDS: Final = 4.0


async def run_round(
    seed: int,
    examples: Path,
    directory: Path,
    sections: str,
) -> FinishedRound[History]:
    """Run a round with settings and logs in a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    async with open_round_environment(
        directory.resolve(),
        seed,
        examples,
        sections,
    ) as environment:
        load = ClosedLoopLoadGenerator(environment.history, environment.routers)
        environment.collector.start()
        load.start()
        await run_schedule(environment, draw_schedule(seed))
        await asyncio.sleep(SETTLE_SECONDS)
        await load.stop()
        await environment.collector.stop()
        environment.history.faults.extend(await stop_routers(environment))
        return FinishedRound(environment.history, environment.schedule_problems)


async def stop_routers(environment: RoundEnvironment) -> list[FaultRecord]:
    """Stop all routers gracefully; return the records of these stops."""
    stops = []
    for vm, process in environment.fleet.routers.items():
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
async def open_round_environment(
    directory: Path,
    seed: int,
    examples: Path,
    sections: str = SECTIONS,
) -> AsyncGenerator[RoundEnvironment, None]:
    """Start a fleet with relays; end all processes on exit."""
    relays = LinkRelays(directory)
    try:
        plans = await asyncio.gather(
            *(
                relays.start_relay(plan)
                for plan in draw_router_plans(seed, sections)
            ),
        )
        plan = make_fleet_plan(tuple(plans), examples)
        async with ProcessFleet(plan, directory) as fleet:
            environment = RoundEnvironment(
                fleet, History(seed=seed), relays, examples
            )
            environment.put_routers_in_rotation()
            yield environment
    finally:
        await relays.kill_all()
