"""Assignment of prompt prefixes to backend servers."""

from collections.abc import Container, Iterable
from heapq import nsmallest
from itertools import islice
from typing import Final

from pollenloom.core.ids import ServerId
from pollenloom.membership.rendezvous_ranking import weight

# Servers cached for each prefix. The first two are used, the others when those
# are down.
CACHED_RANKS: Final = 6
# Prefixes whose ranks are cached. About 3,000 are in use in the largest
# environments.
MAX_CACHED_PREFIXES: Final = 4096


class PrefixRanking:
    """Ranks servers by rendezvous hash of a prefix and caches the first few.

    All routers rank alike, and the loss of a server moves only its prefixes.
    """

    def __init__(self, servers: tuple[ServerId, ...]) -> None:
        self.servers = servers
        self.ranks: dict[int, tuple[ServerId, ...]] = {}

    def first(
        self,
        prefix: int,
        count: int,
        allowed: Container[ServerId],
        excluded: Container[ServerId],
    ) -> tuple[ServerId, ...]:
        """Return up to `count` allowed servers of a prefix, in rank order."""
        ranks = self.ranks.get(prefix)
        if ranks is None:
            if len(self.ranks) >= MAX_CACHED_PREFIXES:
                self.ranks.clear()
            ranks = tuple(self.ranked(prefix, CACHED_RANKS))
            self.ranks[prefix] = ranks
        found = first_usable(ranks, count, allowed, excluded)
        if len(found) == count or len(ranks) == len(self.servers):
            return found
        all_servers = self.ranked(prefix, len(self.servers))
        return first_usable(all_servers, count, allowed, excluded)

    def ranked(self, prefix: int, count: int) -> list[ServerId]:
        """Return the first `count` servers for a prefix, in rank order."""
        key = str(prefix)
        return nsmallest(
            count,
            self.servers,
            key=lambda server: weight(key, server),
        )


def first_usable(
    ranks: Iterable[ServerId],
    count: int,
    allowed: Container[ServerId],
    excluded: Container[ServerId],
) -> tuple[ServerId, ...]:
    """Return the first `count` that are allowed and not excluded."""
    found = (
        server
        for server in ranks
        if server in allowed and server not in excluded
    )
    return tuple(islice(found, count))
