"""Numbers that differ between routers and stay the same on each."""

from typing import Final

import xxhash

from pollenloom.core.ids import VmId

HASH_RANGE: Final = 2**64


def router_phase(vm: VmId, key: str) -> float:
    """Return a number from 0 to 1 for a key, so that turns do not coincide."""
    return xxhash.xxh3_64_intdigest(f'{vm} {key}'.encode()) / HASH_RANGE
