"""Highest fencing number known of each pool."""

from dataclasses import dataclass

from pollenloom.core.ids import PoolId, VmId


@dataclass(frozen=True, slots=True, order=True)
class OwnerEpoch:
    """Fencing number with the VM that uses it; equal numbers need an order."""

    epoch: int
    owner: VmId


NO_OWNER = OwnerEpoch(0, VmId(''))


class EpochTable:
    """Which owner of each pool is followed."""

    def __init__(self) -> None:
        self.accepted: dict[PoolId, OwnerEpoch] = {}

    def current(self, pool: PoolId) -> OwnerEpoch:
        """Owner followed, with epoch 0 if none is known."""
        return self.accepted.get(pool, NO_OWNER)

    def observe(self, pool: PoolId, epoch: int, owner: VmId) -> bool:
        """Note a fencing number; return whether its owner is followed."""
        seen = OwnerEpoch(epoch, owner)
        if seen < self.current(pool):
            return False
        self.accepted[pool] = seen
        return True

    def fence(self, pool: PoolId, epoch: int, owner: VmId) -> int:
        """Follow a new owner; return the highest epoch of the ones before.

        The new owner may not know that epoch yet. It is followed all the
        same, since a grant that the former owner gives after the report
        would be missing from it.
        """
        current = self.current(pool)
        if not self.observe(pool, epoch, owner) or self.is_current(
            pool, current
        ):
            self.accepted[pool] = OwnerEpoch(current.epoch + 1, owner)
        return current.epoch

    def is_current(self, pool: PoolId, owner_epoch: OwnerEpoch) -> bool:
        """Whether an owner and its epoch are the ones followed."""
        return self.current(pool) == owner_epoch
