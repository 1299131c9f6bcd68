"""When two routers that differ should compare in full."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

# A change on its way makes digests differ for a few heartbeats.
DIFFERENCES_ALLOWED = 3


class DigestComparison:
    """Counts heartbeats in a row that showed another digest."""

    def __init__(self) -> None:
        self.differences: dict[VmId, int] = {}

    def is_due(self, vm: 'VmId', *, is_same: bool) -> bool:
        """Count a digest; return whether to compare in full now."""
        if is_same:
            self.differences.pop(vm, None)
            return False
        count = self.differences.get(vm, 0) + 1
        self.differences[vm] = count % DIFFERENCES_ALLOWED
        return count == DIFFERENCES_ALLOWED
