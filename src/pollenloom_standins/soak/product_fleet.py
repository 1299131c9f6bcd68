"""Rounds of a fleet of routers with the platform's stand-in."""

from collections import Counter
from pathlib import Path

from pollenloom_standins.history.history import History
from pollenloom_standins.history.promises import PROMISES
from pollenloom_standins.soak.fault_schedule import draw_schedule
from pollenloom_standins.soak.soak_fleet import FinishedRound, SoakFleet
from pollenloom_standins.soak.soak_round import run_round


class ProductFleet(SoakFleet[History]):
    """Routers with pool owners, the platform's log and gossip."""

    checkers = PROMISES

    def __init__(self, examples: Path, sections: str) -> None:
        self.examples = examples
        self.sections = sections

    async def run_round(
        self, seed: int, directory: Path
    ) -> FinishedRound[History]:
        """Run a round; see `SoakFleet.run_round`."""
        return await run_round(seed, self.examples, directory, self.sections)

    def summarise(self, history: History) -> str:
        """Return faults and outcomes in one line."""
        outcomes = Counter(call.outcome.value for call in history.calls)
        counts = ', '.join(
            f'{count} {name}' for name, count in outcomes.items()
        )
        faults = ', '.join(
            fault.kind.value for fault in draw_schedule(history.seed)
        )
        return f'{faults}; calls: {counts}'
