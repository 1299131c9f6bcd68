"""`pollenloom-standins soak`."""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Final

import cappa
import msgspec

from pollenloom_standins.fleet.managed_process import ProcessError
from pollenloom_standins.history.promises import PROMISES
from pollenloom_standins.soak.fault_schedule import draw_schedule
from pollenloom_standins.soak.soak_plan import SECTIONS
from pollenloom_standins.soak.soak_round import RoundResult, run_round

SHOWN_VIOLATIONS: Final = 3
MINUTE_SECONDS: Final = 60


@dataclass
class SoakTotals:
    """Counts over all rounds."""

    rounds: int = 0
    failed_starts: int = 0
    checked: Counter[str] = field(default_factory=Counter)
    broken: Counter[str] = field(default_factory=Counter)


@cappa.command(name='soak')
@dataclass
class SoakCommand:
    """Run rounds of load under random faults and check all promises.

    Ends with code 1 if a promise was broken.

    Attributes:
        seed: Seed of the first round; each next round has the next seed.
        minutes: Start no round after this time.
        rounds: Start no more rounds than this; 0 for no bound.
        parallel: Rounds at the same time.
        examples: Directory with the example service files.
        output: Directory for histories of broken promises, with logs.
        sections: TOML file added to the routers' settings, to see a promise
            fail when its mechanism is off.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    minutes: Annotated[float, cappa.Arg(long=True)] = 1
    rounds: Annotated[int, cappa.Arg(long=True)] = 0
    parallel: Annotated[int, cappa.Arg(long=True)] = 1
    examples: Annotated[Path, cappa.Arg(long=True)] = Path('examples')
    output: Annotated[Path, cappa.Arg(long=True)] = Path('soak-output')
    sections: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Run the rounds."""
        totals = asyncio.run(self.run())
        report(totals)
        if totals.broken or totals.failed_starts:
            raise cappa.Exit(code=1)

    async def run(self) -> SoakTotals:
        """Run rounds until the time is up."""
        say(f'first seed {self.seed}')
        totals = SoakTotals()
        until = time.monotonic() + self.minutes * MINUTE_SECONDS
        seeds = iter(range(self.seed, sys.maxsize))
        await asyncio.gather(
            *(self.work(seeds, until, totals) for _ in range(self.parallel)),
        )
        return totals

    def router_sections(self) -> str:
        """Return the text that ends the routers' settings."""
        if self.sections is None:
            return SECTIONS
        return SECTIONS + self.sections.read_text(encoding='utf-8')

    async def work(
        self,
        seeds: Iterator[int],
        until: float,
        totals: SoakTotals,
    ) -> None:
        """Run one round after the other."""
        while time.monotonic() < until:
            if self.rounds and totals.rounds >= self.rounds:
                return
            totals.rounds += 1
            seed = next(seeds)
            directory = self.output / f'seed-{seed}'
            try:
                result = await run_round(
                    seed,
                    self.examples,
                    directory,
                    sections=self.router_sections(),
                )
            except ProcessError as error:
                totals.failed_starts += 1
                say(f'seed {seed}: round not run: {error}')
                continue
            totals.checked.update(result.checked)
            totals.broken.update(result.violations.keys())
            tell(result)
            keep(result, directory)


def tell(result: RoundResult) -> None:
    """Print what a round showed."""
    history = result.history
    outcomes = Counter(call.outcome.value for call in history.calls)
    counts = ', '.join(f'{count} {name}' for name, count in outcomes.items())
    faults = ', '.join(
        fault.kind.value for fault in draw_schedule(history.seed)
    )
    verdict = 'BROKEN' if result.violations else 'kept'
    say(f'seed {history.seed}: {verdict}; {faults}; calls: {counts}')
    for name, found in result.violations.items():
        for line in found[:SHOWN_VIOLATIONS]:
            say(f'  {name} ({len(found)}): {line}')
    for trouble in result.troubles:
        say(f'  note: {trouble}')


def keep(result: RoundResult, directory: Path) -> None:
    """Keep history and logs if a promise was broken, else remove them."""
    if result.violations:
        path = directory / 'history.json'
        path.write_bytes(msgspec.json.encode(result.history))
        say(f'  history: {path}')
        return
    for path in directory.iterdir():
        path.unlink()
    directory.rmdir()


def report(totals: SoakTotals) -> None:
    """Print one line for each promise."""
    say(f'{totals.rounds} rounds, {totals.failed_starts} not run')
    for checker in PROMISES:
        name = checker.requirement
        broken = totals.broken[name]
        verdict = f'BROKEN in {broken} rounds' if broken else 'kept'
        say(
            f'{name} {checker.promise}: {verdict} '
            f'({totals.checked[name]} observations)',
        )


def say(line: str) -> None:
    """Print a line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
