"""Fencing numbers (epochs) of pool owners.

Of two owners of a pool, routers obey the one with the higher number.
"""

from dataclasses import dataclass

from pollenloom.core.ids import PoolId, VmId


@dataclass(frozen=True, slots=True, order=True)
class OwnerEpoch:
    """Fencing number and the VM that uses it.

    Owners with equal numbers are ordered by their VM, so that all routers
    accept the same one.
    """

    epoch: int
    owner: VmId


NO_OWNER = OwnerEpoch(0, VmId(''))


class EpochTable:
    """Accepted owner of each pool: the one with the highest epoch seen."""

    def __init__(self) -> None:
        self.accepted: dict[PoolId, OwnerEpoch] = {}

    def current(self, pool: PoolId) -> OwnerEpoch:
        """Return the accepted owner, `NO_OWNER` (epoch 0) if there is none."""
        return self.accepted.get(pool, NO_OWNER)

    def observe(self, pool: PoolId, epoch: int, owner: VmId) -> bool:
        """Record a fencing number; return whether its owner is accepted."""
        seen = OwnerEpoch(epoch, owner)
        if seen < self.current(pool):
            return False
        self.accepted[pool] = seen
        return True

    def fence(self, pool: PoolId, epoch: int, owner: VmId) -> int:
        """Accept a new owner; return the highest epoch seen before.

        The owner is accepted even if its own epoch is lower, because it may
        not know the highest one yet. Otherwise a grant that the former owner
        gives after this router has reported its grants would be missing from
        the report.
        """
        current = self.current(pool)
        if not self.observe(pool, epoch, owner) or self.is_current(
            pool, current
        ):
            self.accepted[pool] = OwnerEpoch(current.epoch + 1, owner)
        return current.epoch

    def is_current(self, pool: PoolId, owner_epoch: OwnerEpoch) -> bool:
        """Whether an owner and its epoch are the accepted ones."""
        return self.current(pool) == owner_epoch
