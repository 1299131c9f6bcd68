"""Records of the callers and backend servers of a round."""

from typing import Final

import msgspec

from pollenloom_standins.node_soak.announcement import Announcement
from pollenloom_standins.node_soak.node_call import NodeCall
from pollenloom_standins.node_soak.node_fault_record import (
    NodeFaultKind,
    NodeFaultRecord,
)
from pollenloom_standins.node_soak.node_run import NodeRun

DEFAULT_NODES: Final = 4
# Target of faults of the store.
STORE: Final = 'store'
# Time in which a node that was cut off or frozen learns what it missed.
CATCH_UP_SECONDS: Final = 3.0
# Time after which changes are in force.
IN_FORCE_SECONDS: Final = 2.0


class NodeHistory(msgspec.Struct, kw_only=True):
    """Records of a round.

    Attributes:
        seed: Seed of load and faults.
        node_count: Number of nodes.
        calls: Requests as callers saw them.
        runs: Requests as backend servers saw them.
        faults: Faults and planned operations.
        leaving: Servers that announced that they leave.
        revoked: API keys that were revoked.
    """

    seed: int
    node_count: int = DEFAULT_NODES
    calls: list[NodeCall] = []
    runs: list[NodeRun] = []
    faults: list[NodeFaultRecord] = []
    leaving: list[Announcement] = []
    revoked: list[Announcement] = []

    def is_disturbed(self, target: str, start: float, end: float) -> bool:
        """Whether a fault of the target or of the store overlaps a time."""
        return any(
            fault.target in {target, STORE} and fault.overlaps(start, end)
            for fault in self.faults
        )

    def is_excused(self, node: str, at: float, until: float) -> bool:
        """Whether a fault kept a node from a change at a time, or made it late.

        A store that comes back from an older copy excuses nothing that was in
        force before it went away.
        """
        in_force_at = at + IN_FORCE_SECONDS
        return any(
            fault.target in {node, STORE}
            and fault.overlaps(at - CATCH_UP_SECONDS, until)
            and not (
                fault.kind is NodeFaultKind.STORE_RESTORED
                and fault.started > in_force_at
            )
            for fault in self.faults
        )
