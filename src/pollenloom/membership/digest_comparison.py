"""Decides when two routers with different digests compare in full."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

# Heartbeats in a row with different digests. A change that is still spreading
# makes digests differ for a few heartbeats.
DIFFERENCES_BEFORE_COMPARISON = 3


class DigestComparison:
    """Counts consecutive heartbeats of each router with another digest."""

    def __init__(self) -> None:
        self.differences: dict[VmId, int] = {}

    def is_due(self, vm: 'VmId', *, is_same: bool) -> bool:
        """Record the digest of a heartbeat; return whether to compare now."""
        if is_same:
            self.differences.pop(vm, None)
            return False
        count = self.differences.get(vm, 0) + 1
        self.differences[vm] = count % DIFFERENCES_BEFORE_COMPARISON
        return count == DIFFERENCES_BEFORE_COMPARISON
