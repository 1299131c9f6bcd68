"""Rounds of the product's own fleet."""

from collections import Counter
from pathlib import Path
from typing import Final

import msgspec

from pollenloom_standins.history.promises import PROMISES
from pollenloom_standins.soak.fault_schedule import draw_schedule
from pollenloom_standins.soak.soak_fleet import SoakFleet, SoakVerdict
from pollenloom_standins.soak.soak_round import RoundResult, run_round

HISTORY: Final = 'history.json'


class ProductFleet(SoakFleet):
    """Routers with pool owners, log and gossip."""

    def __init__(self, examples: Path, sections: str) -> None:
        self.examples = examples
        self.sections = sections
        self.promises = {
            checker.requirement: checker.promise for checker in PROMISES
        }

    async def run(self, seed: int, directory: Path) -> SoakVerdict:
        """Run a round; see `SoakFleet.run`."""
        result = await run_round(
            seed,
            self.examples,
            directory,
            sections=self.sections,
        )
        if result.violations:
            path = directory / HISTORY
            path.write_bytes(msgspec.json.encode(result.history))
        return SoakVerdict(
            summary=summarise(result),
            checked=result.checked,
            violations=result.violations,
            troubles=result.troubles,
        )


def summarise(result: RoundResult) -> str:
    """Return faults and outcomes in one line."""
    history = result.history
    outcomes = Counter(call.outcome.value for call in history.calls)
    counts = ', '.join(f'{count} {name}' for name, count in outcomes.items())
    faults = ', '.join(
        fault.kind.value for fault in draw_schedule(history.seed)
    )
    return f'{faults}; calls: {counts}'
