"""Ranking of VMs for a key."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

# Far more than the pools, moves and data centres that are ranked for.
KEPT_RANKINGS = 4096


class RendezvousRanking:
    """Ranks VMs by the hash of key and VM id.

    Loss of a VM moves only the keys that it was first for.
    """

    def __init__(self, vms: Iterable['VmId']) -> None:
        self.vms = tuple(vms)
        self.rankings: dict[str, tuple[VmId, ...]] = {}

    def ranked(self, key: str) -> tuple['VmId', ...]:
        """Return all VMs, the owner of the key first."""
        ranking = self.rankings.get(key)
        if ranking is None:
            ranking = tuple(
                sorted(self.vms, key=lambda vm: (weight(key, vm), vm)),
            )
            if len(self.rankings) >= KEPT_RANKINGS:
                self.rankings.clear()
            self.rankings[key] = ranking
        return ranking


def weight(key: str, vm: str) -> int:
    """Hash by which VMs are sorted."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{vm}'.encode())
