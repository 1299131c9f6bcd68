"""Which servers a prompt prefix belongs to."""

from collections.abc import Container, Iterable
from heapq import nsmallest
from itertools import islice
from typing import Final

from pollenloom.core.ids import ServerId
from pollenloom.membership.rendezvous_ranking import weight

# Ranks that are kept of each prefix; the first two of them are used, and
# others where those are down.
RANKS: Final = 6
# Prefixes whose ranks are kept; some 3,000 are in use on the largest sites.
MOST_PREFIXES: Final = 4096


class PrefixRanking:
    """Servers by rendezvous hash of a prefix, the first few of them.

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
        """Return the first allowed servers of a prefix."""
        ranks = self.ranks.get(prefix)
        if ranks is None:
            if len(self.ranks) >= MOST_PREFIXES:
                self.ranks.clear()
            ranks = tuple(self.ranked(prefix, RANKS))
            self.ranks[prefix] = ranks
        found = usable(ranks, count, allowed, excluded)
        if len(found) == count or len(ranks) == len(self.servers):
            return found
        everything = self.ranked(prefix, len(self.servers))
        return usable(everything, count, allowed, excluded)

    def ranked(self, prefix: int, count: int) -> list[ServerId]:
        """Rank the servers for a prefix."""
        key = str(prefix)
        return nsmallest(
            count,
            self.servers,
            key=lambda server: weight(key, server),
        )


def usable(
    ranks: Iterable[ServerId],
    count: int,
    allowed: Container[ServerId],
    excluded: Container[ServerId],
) -> tuple[ServerId, ...]:
    """Return the first few that are allowed and not excluded."""
    found = (
        server
        for server in ranks
        if server in allowed and server not in excluded
    )
    return tuple(islice(found, count))
