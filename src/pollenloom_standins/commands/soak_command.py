"""`pollenloom-standins soak`."""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from pathlib import Path
from typing import Annotated, Final

import cappa

from pollenloom_standins.fleet.managed_process import ProcessError
from pollenloom_standins.node_soak.node_fleet import NodeFleet
from pollenloom_standins.node_soak.node_history import DEFAULT_NODES
from pollenloom_standins.soak.product_fleet import ProductFleet
from pollenloom_standins.soak.soak_fleet import SoakVerdict
from pollenloom_standins.soak.soak_plan import SECTIONS

SHOWN_VIOLATIONS: Final = 3
SECONDS_PER_MINUTE: Final = 60

AnyFleet = ProductFleet | NodeFleet


@unique
class FleetKind(Enum):
    """Kinds of fleets that a soak runs on."""

    PRODUCT = 'product'
    NODE = 'node'


@dataclass
class SoakTotals:
    """Counts over all rounds.

    Attributes:
        rounds: Rounds that were begun.
        failed_starts: Rounds whose fleet did not start.
        checked: Number of observations, by promise.
        broken: Number of rounds that broke the promise, by promise.
    """

    rounds: int = 0
    failed_starts: int = 0
    checked: Counter[str] = field(default_factory=Counter)
    broken: Counter[str] = field(default_factory=Counter)


@cappa.command(name='soak')
@dataclass
class SoakCommand:
    """Run rounds of load under random faults and check all promises.

    Exits with code 1 if a promise was broken or a fleet did not start.

    Attributes:
        fleet: Fleet to run: `product` has routers with the platform's
            stand-in, `node` has `pollenloom.node` processes with the users'
            store.
        nodes: Number of nodes in a fleet of nodes.
        seed: Seed of the first round; each next round has the next seed.
        minutes: Start no round after this many minutes.
        rounds: Start no more rounds than this; 0 for no limit.
        parallel: Number of rounds that run at the same time.
        examples: Directory with the example service files.
        output: Directory for histories and logs of rounds that broke a
            promise.
        sections: TOML file that is appended to the routers' settings, for
            instance to switch a mechanism off and see its promise broken.
    """

    fleet: Annotated[FleetKind, cappa.Arg(long=True)] = FleetKind.PRODUCT
    nodes: Annotated[int, cappa.Arg(long=True)] = DEFAULT_NODES
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    minutes: Annotated[float, cappa.Arg(long=True)] = 1
    rounds: Annotated[int, cappa.Arg(long=True)] = 0
    parallel: Annotated[int, cappa.Arg(long=True)] = 1
    examples: Annotated[Path, cappa.Arg(long=True)] = Path('examples')
    output: Annotated[Path, cappa.Arg(long=True)] = Path('soak-output')
    sections: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Run the rounds."""
        fleet = self.make_fleet()
        totals = asyncio.run(self.run(fleet))
        print_report(fleet, totals)
        if totals.broken or totals.failed_starts:
            raise cappa.Exit(code=1)

    def make_fleet(self) -> AnyFleet:
        """Return the chosen fleet."""
        if self.fleet is FleetKind.NODE:
            return NodeFleet(self.nodes)
        return ProductFleet(self.examples, self.router_sections())

    async def run(self, fleet: AnyFleet) -> SoakTotals:
        """Run rounds until the time or their number is used up."""
        print_line(f'first seed {self.seed}')
        totals = SoakTotals()
        deadline = time.monotonic() + self.minutes * SECONDS_PER_MINUTE
        seeds = iter(range(self.seed, sys.maxsize))
        await asyncio.gather(
            *(
                self.run_rounds(fleet, seeds, deadline, totals)
                for _ in range(self.parallel)
            ),
        )
        return totals

    def router_sections(self) -> str:
        """Return the text to append to the routers' settings."""
        if self.sections is None:
            return SECTIONS
        return SECTIONS + self.sections.read_text(encoding='utf-8')

    async def run_rounds(
        self,
        fleet: AnyFleet,
        seeds: Iterator[int],
        deadline: float,
        totals: SoakTotals,
    ) -> None:
        """Run rounds one after the other until the deadline."""
        while time.monotonic() < deadline:
            if self.rounds and totals.rounds >= self.rounds:
                return
            totals.rounds += 1
            seed = next(seeds)
            directory = self.output / f'seed-{seed}'
            try:
                verdict = await fleet.run(seed, directory)
            except ProcessError as error:
                totals.failed_starts += 1
                print_line(f'seed {seed}: round not run: {error}')
                continue
            totals.checked.update(verdict.checked)
            totals.broken.update(verdict.violations.keys())
            print_verdict(seed, verdict)
            clean_up_round(verdict, directory)


def print_verdict(seed: int, verdict: SoakVerdict) -> None:
    """Print the result of a round."""
    result = 'BROKEN' if verdict.violations else 'kept'
    print_line(f'seed {seed}: {result}; {verdict.summary}')
    for name, found in verdict.violations.items():
        for line in found[:SHOWN_VIOLATIONS]:
            print_line(f'  {name} ({len(found)}): {line}')
    for problem in verdict.schedule_problems:
        print_line(f'  note: {problem}')


def clean_up_round(verdict: SoakVerdict, directory: Path) -> None:
    """Remove the logs of a round unless it broke a promise."""
    if verdict.violations:
        print_line(f'  history and logs: {directory}')
        return
    for path in directory.iterdir():
        path.unlink()
    directory.rmdir()


def print_report(fleet: AnyFleet, totals: SoakTotals) -> None:
    """Print the totals, with one line for each promise."""
    print_line(f'{totals.rounds} rounds, {totals.failed_starts} not run')
    for checker in fleet.checkers:
        name = checker.requirement
        broken = totals.broken[name]
        verdict = f'BROKEN in {broken} rounds' if broken else 'kept'
        print_line(
            f'{name} {checker.promise}: {verdict} '
            f'({totals.checked[name]} observations)',
        )


def print_line(line: str) -> None:
    """Print a line and flush the output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
