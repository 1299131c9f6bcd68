"""Pools of backend servers, derived from the configuration."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import DataCentreId, PoolId, ServerId, ServiceId


@dataclass(frozen=True, slots=True)
class Pool:
    """Servers of one service in one data centre, or a shard of them.

    Attributes:
        pool: Id, `service/data centre/shard`.
        service: Service of the servers.
        data_centre: Data centre of the servers.
        servers: Servers whose slots one owner allocates.
    """

    pool: PoolId
    service: ServiceId
    data_centre: DataCentreId
    servers: tuple[BackendServer, ...]


@dataclass(slots=True)
class PoolMap:
    """All pools; equal on all routers with the same configuration.

    Attributes:
        pools: Pools by id.
        servers: Servers of all pools by id.
        pool_of: Pool of each server.
        by_service: Pools of each service.
    """

    pools: dict[PoolId, Pool] = field(default_factory=dict)
    servers: dict[ServerId, BackendServer] = field(default_factory=dict)
    pool_of: dict[ServerId, PoolId] = field(default_factory=dict)
    by_service: dict[ServiceId, list[Pool]] = field(default_factory=dict)

    def add_service(
        self,
        service: ServiceId,
        servers: Iterable[BackendServer],
        shard_servers: int,
    ) -> None:
        """Divide the servers of one service into pools."""
        by_data_centre: dict[DataCentreId, list[BackendServer]] = {}
        for server in servers:
            by_data_centre.setdefault(server.data_centre, []).append(server)
        for data_centre, members in sorted(by_data_centre.items()):
            prefix = f'{service}/{data_centre}'
            for shard, part in enumerate(
                split_into_shards(members, shard_servers)
            ):
                pool = PoolId(f'{prefix}/{shard}')
                self.add(Pool(pool, service, data_centre, tuple(part)))

    def add(self, pool: Pool) -> None:
        """Add one pool to all indexes."""
        self.pools[pool.pool] = pool
        self.by_service.setdefault(pool.service, []).append(pool)
        for server in pool.servers:
            self.servers[server.server] = server
            self.pool_of[server.server] = pool.pool


def split_into_shards(
    servers: list[BackendServer],
    shard_servers: int,
) -> list[list[BackendServer]]:
    """Distribute servers over as few shards as the limit allows.

    Each server goes to the shard with the highest rendezvous hash that is
    not full, so that few servers move when the number of shards changes.
    """
    count = math.ceil(len(servers) / shard_servers)
    capacity = math.ceil(len(servers) / count)
    shards: list[list[BackendServer]] = [[] for _ in range(count)]
    for server in sorted(servers, key=lambda known: known.server):
        open_shards = [
            shard for shard in range(count) if len(shards[shard]) < capacity
        ]
        ranks = [shard_rank(server.server, shard) for shard in open_shards]
        shards[open_shards[ranks.index(max(ranks))]].append(server)
    return shards


def shard_rank(server: ServerId, shard: int) -> int:
    """Rendezvous hash of a server and a shard."""
    return xxhash.xxh64_intdigest(f'{server}/{shard}'.encode())
