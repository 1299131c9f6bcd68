"""Cache of prompt prefixes in limited memory."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Hashes that a request added to and removed from the cache."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """Least recently used prefixes are evicted first."""

    def __init__(self, blocks: int) -> None:
        self.blocks = blocks
        self.hashes: OrderedDict[int, None] = OrderedDict()

    def cached_share(self, hashes: Sequence[int]) -> float:
        """Return the share of a prompt's prefix blocks that is cached.

        A prefix is usable only if all shorter ones are cached as well.
        """
        cached = 0
        for prefix in hashes:
            if prefix not in self.hashes:
                break
            cached += 1
        return cached / len(hashes) if hashes else 0

    def store(self, hashes: Sequence[int]) -> CacheChange:
        """Add a prompt's prefixes, shortest first."""
        stored = tuple(prefix for prefix in hashes if prefix not in self.hashes)
        # The longest prefix is touched first, so that it is evicted before
        # the shorter ones that it needs.
        for prefix in reversed(hashes):
            self.hashes[prefix] = None
            self.hashes.move_to_end(prefix)
        evicted = []
        while len(self.hashes) > self.blocks:
            evicted.append(self.hashes.popitem(last=False)[0])
        return CacheChange(stored, tuple(evicted))

    def clear(self) -> None:
        """Forget everything, as a restarted engine does."""
        self.hashes.clear()
