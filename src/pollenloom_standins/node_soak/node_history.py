"""What callers and backend servers of a round saw."""

from typing import Final

import msgspec

from pollenloom_standins.node_soak.announcement import Announcement
from pollenloom_standins.node_soak.node_call import NodeCall
from pollenloom_standins.node_soak.node_fault_record import NodeFaultRecord
from pollenloom_standins.node_soak.node_run import NodeRun

# Target of the faults of the store itself.
STORE: Final = 'store'
# A node that was cut off or frozen knows again after this time.
CATCH_UP_SECONDS: Final = 3.0


class NodeHistory(msgspec.Struct, kw_only=True):
    """All records of a round."""

    seed: int
    calls: list[NodeCall] = []
    runs: list[NodeRun] = []
    faults: list[NodeFaultRecord] = []
    leaving: list[Announcement] = []
    revoked: list[Announcement] = []

    def is_disturbed(self, target: str, start: float, end: float) -> bool:
        """Whether a fault of the target or of the store overlaps."""
        return any(
            fault.target in {target, STORE} and fault.overlaps(start, end)
            for fault in self.faults
        )
