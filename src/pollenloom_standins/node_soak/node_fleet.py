"""Rounds of the fleet on the users' machines."""

from pathlib import Path

from pollenloom_standins.node_soak.node_checkers import CHECKERS
from pollenloom_standins.node_soak.node_round import run_node_round
from pollenloom_standins.soak.soak_fleet import SoakFleet, SoakVerdict


class NodeFleet(SoakFleet):
    """Nodes with the users' store, servers and callers."""

    def __init__(self) -> None:
        self.promises = {
            checker.name: (checker.__doc__ or '').strip()
            for checker in CHECKERS
        }

    async def run(self, seed: int, directory: Path) -> SoakVerdict:
        """Run a round; see `SoakFleet.run`."""
        result = await run_node_round(seed, directory)
        return SoakVerdict(
            summary=result.summary,
            checked={
                checker.name: checker.checked(result.history)
                for checker in CHECKERS
            },
            violations=result.violations,
            troubles=result.troubles,
        )
