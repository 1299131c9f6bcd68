"""Runs an experiment with one variant and one seed at a time."""

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

from pollenloom_standins.experiment.arrival_generator import (
    read_arrivals,
    write_arrivals,
)
from pollenloom_standins.experiment.backend_probe import BackendProbe
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.open_loop_load_generator import (
    OpenLoopLoadGenerator,
)
from pollenloom_standins.experiment.results import RouterUse, RunResult
from pollenloom_standins.experiment.router_probe import (
    RouterProbe,
    measure_router_use,
    read_epoch_sum,
)
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.run_measurement import measure_run
from pollenloom_standins.experiment.workload import Workload
from pollenloom_standins.fleet.process_fleet import ProcessFleet

# The registers and the VM list reach all routers in this time; afterwards the
# routers' use of resources without load is measured for the same time.
PROPAGATION_SECONDS: Final = 1.5


class ExperimentRun:
    """Runs an experiment on the fleet of one workload.

    Attributes:
        experiment: The experiment.
        workload: Fleet and load to run it with.
        examples: Directory with the users' service files.
        output: Directory of the arrivals files.
        seconds: Length of the load.
        shares: Share of each account of the model.
    """

    def __init__(
        self,
        experiment: Experiment,
        workload: Workload,
        examples: Path,
        output: Path,
        seconds: float,
    ) -> None:
        self.experiment = experiment
        self.workload = workload
        self.examples = examples
        self.output = output
        self.seconds = seconds
        self.shares = workload.shares(examples)

    async def run(self, variant: Variant, seed: int) -> RunResult:
        """Start a fleet, apply the load and return the result."""
        plan = self.experiment.plan(self.workload, variant, self.examples)
        with tempfile.TemporaryDirectory(prefix='pollenloom-') as directory:
            fleet = ProcessFleet(plan, Path(directory))
            async with AsyncExitStack() as stack:
                # A graceful shutdown is slow and not part of the measurement.
                stack.push_async_callback(fleet.kill_all)
                await fleet.start()
                return await self.run_on_fleet(fleet, variant, seed)

    async def run_on_fleet(
        self,
        fleet: ProcessFleet,
        variant: Variant,
        seed: int,
    ) -> RunResult:
        """Apply the load to a running fleet and return the result."""
        context = RunContext(
            workload=self.workload,
            variant=variant,
            fleet=fleet,
            load=OpenLoopLoadGenerator(fleet, self.workload),
            backends=BackendProbe(fleet),
            seconds=self.seconds,
        )
        epochs = await read_epoch_sum(fleet)
        router_uses = await self.apply_load(context, seed)
        data = RunData(
            records=context.load.records,
            histories=await context.backends.histories(),
            started=context.load.started,
            seconds=self.seconds,
            shares=self.shares,
            owner_changes=await read_epoch_sum(fleet) - epochs,
        )
        return measure_run(self.experiment, context, data, seed, router_uses)

    async def apply_load(
        self,
        context: RunContext,
        seed: int,
    ) -> tuple[RouterUse, RouterUse]:
        """Replay the arrivals; return router use before and under load."""
        probe = RouterProbe(context.fleet)
        await asyncio.sleep(PROPAGATION_SECONDS)
        idle = await probe.sample()
        await asyncio.sleep(PROPAGATION_SECONDS)
        before = await probe.sample()
        arrivals = read_arrivals(self.arrivals_path(seed))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(context.load.replay(arrivals, self.seconds))
            tasks.create_task(self.experiment.change_fleet(context))
        after = await probe.sample()
        return (
            measure_router_use(idle, before),
            measure_router_use(before, after),
        )

    def arrivals_path(self, seed: int) -> Path:
        """Return the arrivals file of a seed; generate it if it is missing."""
        name = f'arrivals-{self.experiment.name}-{self.workload.name}'
        path = self.output / f'{name}-{self.seconds:.0f}s-{seed}.jsonl'
        if not path.exists():
            arrival_generator = self.experiment.arrival_generator(
                self.workload,
                self.shares,
                self.seconds,
            )
            write_arrivals(arrival_generator.generate(seed), path)
        return path
