"""Runs one experiment with one variant and one seed."""

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

from pollenloom_standins.experiment.arrival_recorder import (
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
    read_epochs,
    router_use,
)
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.run_measurement import measure_run
from pollenloom_standins.experiment.workload import Workload
from pollenloom_standins.fleet.process_fleet import ProcessFleet

# The registers and the VM list spread in this time; afterwards the routers'
# use without load is measured for the same time.
SPREAD_SECONDS: Final = 1.5


class ExperimentRun:
    """One run.

    Attributes:
        experiment: What happens.
        workload: Which user's fleet it is.
        examples: Directory with the users' service files.
        output: Directory of arrivals and results.
        seconds: Length of the load.
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
        """Start a fleet, load it and return the figures."""
        plan = self.experiment.plan(self.workload, variant, self.examples)
        with tempfile.TemporaryDirectory(prefix='pollenloom-') as directory:
            fleet = ProcessFleet(plan, Path(directory))
            async with AsyncExitStack() as stack:
                # A graceful shutdown takes long and is not measured here.
                stack.push_async_callback(fleet.kill_all)
                await fleet.start()
                return await self.run_in(fleet, variant, seed)

    async def run_in(
        self,
        fleet: ProcessFleet,
        variant: Variant,
        seed: int,
    ) -> RunResult:
        """Load a fleet that runs."""
        context = RunContext(
            workload=self.workload,
            variant=variant,
            fleet=fleet,
            load=OpenLoopLoadGenerator(fleet, self.workload),
            backends=BackendProbe(fleet),
            seconds=self.seconds,
        )
        epochs = await read_epochs(fleet)
        uses = await self.load(context, seed)
        data = RunData(
            records=context.load.records,
            histories=await context.backends.histories(),
            started=context.load.started,
            seconds=self.seconds,
            shares=self.shares,
            owner_changes=await read_epochs(fleet) - epochs,
        )
        return measure_run(self.experiment, context, data, seed, uses)

    async def load(
        self,
        context: RunContext,
        seed: int,
    ) -> tuple[RouterUse, RouterUse]:
        """Replay the arrivals; return the routers' use without and with."""
        probe = RouterProbe(context.fleet)
        await asyncio.sleep(SPREAD_SECONDS)
        idle = await probe.sample()
        await asyncio.sleep(SPREAD_SECONDS)
        before = await probe.sample()
        arrivals = read_arrivals(self.arrivals_path(seed))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(context.load.replay(arrivals, self.seconds))
            tasks.create_task(self.experiment.act(context))
        after = await probe.sample()
        return router_use(idle, before), router_use(before, after)

    def arrivals_path(self, seed: int) -> Path:
        """Return the file of recorded arrivals; make it if it is missing."""
        name = f'arrivals-{self.experiment.name}-{self.workload.name}'
        path = self.output / f'{name}-{self.seconds:.0f}s-{seed}.jsonl'
        if not path.exists():
            recorder = self.experiment.recorder(
                self.workload,
                self.shares,
                self.seconds,
            )
            write_arrivals(recorder.record(seed), path)
        return path
