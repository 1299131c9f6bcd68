"""Ranking of VMs for a key by rendezvous hashing."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

# Far more than the number of keys in use: pools, moves and data centres.
MAX_CACHED_RANKINGS = 4096


class RendezvousRanking:
    """Ranks VMs by the hash of key and VM id.

    The loss of a VM moves only the keys for which it was ranked first.
    """

    def __init__(self, vms: Iterable['VmId']) -> None:
        self.vms = tuple(vms)
        self.rankings: dict[str, tuple[VmId, ...]] = {}

    def ranked(self, key: str) -> tuple['VmId', ...]:
        """Return all VMs by rank, the owner of the key first."""
        ranking = self.rankings.get(key)
        if ranking is None:
            ranking = tuple(
                sorted(self.vms, key=lambda vm: (weight(key, vm), vm)),
            )
            if len(self.rankings) >= MAX_CACHED_RANKINGS:
                self.rankings.clear()
            self.rankings[key] = ranking
        return ranking


def weight(key: str, vm: str) -> int:
    """Hash of key and VM id; the VM with the lowest one ranks first."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{vm}'.encode())
