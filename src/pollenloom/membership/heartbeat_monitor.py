"""Which neighbours have fallen silent."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from pollenloom.membership.member_table import SILENCE_SECONDS

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

# Longest silence allowed to a neighbour that only others hear.
MAX_PATIENCE_SECONDS = 24


class HeartbeatMonitor:
    """Judges neighbours by the time since their last heartbeat.

    A neighbour that refutes a suspicion while it stays silent here is heard
    by others: only the path to this VM is cut. The allowed silence doubles
    with each such refutation, so that one cut path does not flood the fleet
    with suspicions.
    """

    def __init__(self) -> None:
        self.heard_at: dict[VmId, float] = {}
        self.patience: dict[VmId, float] = {}
        self.reported: set[VmId] = set()

    def watch(self, vms: Iterable['VmId'], now: float) -> None:
        """Set the neighbours to judge; new ones count as heard now."""
        self.heard_at = {vm: self.heard_at.get(vm, now) for vm in vms}
        for vm in self.patience.keys() - self.heard_at.keys():
            self.patience.pop(vm)
        self.reported &= self.heard_at.keys()

    def heard(self, vm: 'VmId', now: float) -> None:
        """Note a heartbeat."""
        if vm not in self.heard_at:
            return
        self.heard_at[vm] = now
        self.patience.pop(vm, None)
        self.reported.discard(vm)

    def refuted(self, vm: 'VmId', now: float) -> None:
        """Note that a neighbour is alive by the word of others."""
        if vm in self.reported:
            self.reported.discard(vm)
            self.heard_at[vm] = now
            patience = 2 * self.patience.get(vm, SILENCE_SECONDS)
            self.patience[vm] = min(patience, MAX_PATIENCE_SECONDS)

    def silent(self, now: float) -> tuple['VmId', ...]:
        """Neighbours that have become silent; each is returned once."""
        silent = tuple(
            vm
            for vm in self.heard_at
            if vm not in self.reported and self.deadline(vm) <= now
        )
        self.reported.update(silent)
        return silent

    def postpone(self, seconds: float, now: float) -> None:
        """Allow for a time in which this process was not running."""
        for vm, heard_at in self.heard_at.items():
            self.heard_at[vm] = min(heard_at + seconds, now)

    def next_deadline(self) -> float:
        """When the next neighbour becomes silent; infinity if never."""
        return min(
            (self.deadline(vm) for vm in self.heard_at.keys() - self.reported),
            default=float('inf'),
        )

    def deadline(self, vm: 'VmId') -> float:
        """When a neighbour counts as silent."""
        return self.heard_at[vm] + self.patience.get(vm, SILENCE_SECONDS)
