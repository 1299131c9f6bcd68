"""Cache of prompt prefixes with a limited size."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Hashes that a request added to and removed from the cache."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """Set of prefix hashes that evicts the least recently used first."""

    def __init__(self, blocks: int) -> None:
        self.blocks = blocks
        self.hashes: OrderedDict[int, None] = OrderedDict()

    def cached_fraction(self, hashes: Sequence[int]) -> float:
        """Return the fraction of a prompt's prefix blocks that are cached.

        A prefix is usable only if all shorter ones are cached as well.
        """
        cached = 0
        for prefix in hashes:
            if prefix not in self.hashes:
                break
            cached += 1
        return cached / len(hashes) if hashes else 0

    def store(self, hashes: Sequence[int]) -> CacheChange:
        """Add the prefixes of a prompt, which are given shortest first."""
        stored = tuple(prefix for prefix in hashes if prefix not in self.hashes)
        # The longest prefix is marked as used first, so that it is evicted
        # before the shorter ones that it needs.
        for prefix in reversed(hashes):
            self.hashes[prefix] = None
            self.hashes.move_to_end(prefix)
        evicted = []
        while len(self.hashes) > self.blocks:
            evicted.append(self.hashes.popitem(last=False)[0])
        return CacheChange(stored, tuple(evicted))

    def clear(self) -> None:
        """Remove all prefixes, as a restart of the engine does."""
        self.hashes.clear()
