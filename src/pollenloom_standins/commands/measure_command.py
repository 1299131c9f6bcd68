"""`pollenloom-standins measure`."""

import asyncio
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.experiment_run import ExperimentRun
from pollenloom_standins.experiment.experiments import (
    EXPERIMENTS,
    make_experiment,
)
from pollenloom_standins.experiment.workloads import WORKLOADS


@cappa.command(name='measure')
@dataclass(frozen=True)
class MeasureCommand:
    """Run experiments on fleets; print tables and write plots.

    Results that are already in the output directory are not measured again.

    Attributes:
        experiments: Experiments to run; all if none is given.
        workload: Run only this workload, the fleet of one user; all if empty.
        variant: Run only this variant, for instance a policy; all if empty.
        seeds: Number of seeds, which count from 1.
        quick: Make short runs with one seed, as a check of the experiments.
        only_report: Make tables and plots of existing results only.
        examples: Directory with the example service files.
        output: Directory of arrivals, results, tables and plots.
    """

    experiments: Annotated[
        list[str],
        cappa.Arg(choices=tuple(EXPERIMENTS)),
    ] = field(default_factory=list)
    workload: Annotated[str, cappa.Arg(long=True)] = ''
    variant: Annotated[str, cappa.Arg(long=True)] = ''
    seeds: Annotated[int, cappa.Arg(long=True)] = 3
    quick: Annotated[bool, cappa.Arg(long=True)] = False
    only_report: Annotated[bool, cappa.Arg(long=True)] = False
    examples: Annotated[Path, cappa.Arg(long=True)] = Path('examples')
    output: Annotated[Path, cappa.Arg(long=True)] = Path('build/measurements')

    def __call__(self) -> None:
        """Run the chosen experiments and print the report."""
        # matplotlib takes long to load and is not needed by other commands.
        from pollenloom_standins.experiment.report import write_report

        self.output.mkdir(parents=True, exist_ok=True)
        if not self.only_report:
            asyncio.run(self.run_all())
        sys.stdout.write(write_report(self.output))

    async def run_all(self) -> None:
        """Run the chosen experiments on each chosen workload in turn."""
        for name in self.experiments or EXPERIMENTS:
            for workload in WORKLOADS.values():
                if self.workload in {'', workload.name}:
                    await self.run_workload(name, workload.name)

    async def run_workload(self, name: str, workload: str) -> None:
        """Run the chosen variants and all seeds of an experiment."""
        experiment = make_experiment(name)
        seconds = experiment.seconds
        if self.quick:
            seconds = experiment.quick_seconds
        run = ExperimentRun(
            experiment,
            WORKLOADS[workload],
            self.examples,
            self.output,
            seconds,
        )
        variants = [
            variant
            for variant in experiment.variants()
            if self.variant in {'', variant.name}
        ]
        for seed in range(1, 2 if self.quick else self.seeds + 1):
            for variant in variants:
                await self.run_once(run, variant, seed)

    async def run_once(
        self,
        run: ExperimentRun,
        variant: Variant,
        seed: int,
    ) -> None:
        """Run one variant with one seed, unless its result exists."""
        name = f'{run.experiment.name}-{run.workload.name}'
        label = f'{name}-{variant.name}-{seed}'
        path = self.output / f'result-{label}.json'
        if path.exists():
            return
        sys.stderr.write(f'{time.strftime("%X")} {label}\n')
        result = await run.run(variant, seed)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
