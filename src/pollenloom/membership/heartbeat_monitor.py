"""Detection of neighbours that stopped sending heartbeats."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from pollenloom.membership.member_table import HEARTBEAT_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

# Longest timeout for a neighbour whose heartbeats reach only other routers.
MAX_HEARTBEAT_TIMEOUT_SECONDS = 24


class HeartbeatMonitor:
    """Detects neighbours without a heartbeat within their timeout.

    If a neighbour refutes a suspicion but its heartbeats still do not arrive
    here, other routers receive them and only the path to this VM is cut. The
    timeout doubles with each such refutation, so that one cut path does not
    flood the fleet with suspicions. All times are monotonic seconds.

    Attributes:
        last_heartbeat_at: Time of the last heartbeat of each neighbour.
        timeouts: Timeouts that differ from `HEARTBEAT_TIMEOUT_SECONDS`.
        reported: Neighbours that `take_expired` has already returned.
    """

    def __init__(self) -> None:
        self.last_heartbeat_at: dict[VmId, float] = {}
        self.timeouts: dict[VmId, float] = {}
        self.reported: set[VmId] = set()

    def watch(self, vms: Iterable['VmId'], now: float) -> None:
        """Set the neighbours to monitor; timeouts of new ones start now."""
        self.last_heartbeat_at = {
            vm: self.last_heartbeat_at.get(vm, now) for vm in vms
        }
        for vm in self.timeouts.keys() - self.last_heartbeat_at.keys():
            self.timeouts.pop(vm)
        self.reported &= self.last_heartbeat_at.keys()

    def record_heartbeat(self, vm: 'VmId', now: float) -> None:
        """Record a heartbeat of a neighbour and reset its timeout."""
        if vm not in self.last_heartbeat_at:
            return
        self.last_heartbeat_at[vm] = now
        self.timeouts.pop(vm, None)
        self.reported.discard(vm)

    def record_refutation(self, vm: 'VmId', now: float) -> None:
        """Restart the timeout, doubled, if the neighbour was reported."""
        if vm in self.reported:
            self.reported.discard(vm)
            self.last_heartbeat_at[vm] = now
            timeout = 2 * self.timeouts.get(vm, HEARTBEAT_TIMEOUT_SECONDS)
            self.timeouts[vm] = min(timeout, MAX_HEARTBEAT_TIMEOUT_SECONDS)

    def take_expired(self, now: float) -> tuple['VmId', ...]:
        """Return neighbours whose timeout has expired, each of them once."""
        expired = tuple(
            vm
            for vm in self.last_heartbeat_at
            if vm not in self.reported and self.deadline(vm) <= now
        )
        self.reported.update(expired)
        return expired

    def postpone(self, seconds: float, now: float) -> None:
        """Extend all deadlines by a time in which this process did not run."""
        for vm, last_at in self.last_heartbeat_at.items():
            self.last_heartbeat_at[vm] = min(last_at + seconds, now)

    def next_deadline(self) -> float:
        """When the next timeout expires; infinity if there is none."""
        return min(
            (
                self.deadline(vm)
                for vm in self.last_heartbeat_at.keys() - self.reported
            ),
            default=float('inf'),
        )

    def deadline(self, vm: 'VmId') -> float:
        """When the timeout of a neighbour expires."""
        return self.last_heartbeat_at[vm] + self.timeouts.get(
            vm, HEARTBEAT_TIMEOUT_SECONDS
        )
