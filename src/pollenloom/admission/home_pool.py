"""Choice of the pool that a request is announced to first."""

from collections.abc import Sequence

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.pool_map import Pool, shard_rank
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import PoolId, ServerId


class HomePool:
    """Prefers the local data centre; equal prefixes go to the same shard.

    Attributes:
        choices: Number of choices between shards so far.
    """

    def __init__(self, scope: AdmissionScope) -> None:
        self.scope = scope
        self.choices = 0

    def choose(self, ticket: Ticket) -> PoolId | None:
        """Return a pool with a server for the request; None if none has one."""
        usable = [
            pool
            for pool in self.scope.pools_of(ticket.service)
            if has_server(pool, ticket)
        ]
        local_pools = [pool for pool in usable if self.scope.is_local(pool)]
        candidates = local_pools or usable
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0].pool
        return self.choose_shard(candidates, ticket).pool

    def choose_shard(self, pools: Sequence[Pool], ticket: Ticket) -> Pool:
        """Choose by the shortest prompt prefix; without one, round robin."""
        self.choices += 1
        if not ticket.prefix_hashes:
            return pools[self.choices % len(pools)]
        key = ServerId(str(ticket.prefix_hashes[0]))
        ranks = [shard_rank(key, shard) for shard in range(len(pools))]
        return pools[ranks.index(max(ranks))]


def has_server(pool: Pool, ticket: Ticket) -> bool:
    """Whether a pool has a server that the request may go to."""
    return any(server.server not in ticket.excluded for server in pool.servers)
