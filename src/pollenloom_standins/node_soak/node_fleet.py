"""Rounds of a fleet of `pollenloom.node` processes."""

from collections import Counter
from pathlib import Path

from pollenloom_standins.node_soak.node_history import (
    DEFAULT_NODES,
    NodeHistory,
)
from pollenloom_standins.node_soak.node_promises import NODE_PROMISES
from pollenloom_standins.node_soak.node_round import run_node_round
from pollenloom_standins.soak.soak_fleet import FinishedRound, SoakFleet


class NodeFleet(SoakFleet[NodeHistory]):
    """Nodes with stand-ins of the users' store, servers and callers.

    Attributes:
        node_count: Number of nodes; the rest of a round is the same.
    """

    checkers = NODE_PROMISES

    def __init__(self, node_count: int = DEFAULT_NODES) -> None:
        self.node_count = node_count

    async def run_round(
        self,
        seed: int,
        directory: Path,
    ) -> FinishedRound[NodeHistory]:
        """Run a round; see `SoakFleet.run_round`."""
        return await run_node_round(seed, directory, self.node_count)

    def summarise(self, history: NodeHistory) -> str:
        """Return faults and statuses in one line."""
        statuses = Counter(call.status for call in history.calls)
        counts = ', '.join(
            f'{status}: {count}' for status, count in sorted(statuses.items())
        )
        faults = ', '.join(fault.kind.value for fault in history.faults)
        return f'{counts}; {faults}'
