"""State and services shared by the router and owner sides of admission."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Self, TypeVar

from pollenloom.admission.epoch_table import EpochTable
from pollenloom.admission.pool_event_log import PoolEventLog
from pollenloom.admission.pool_map import Pool, PoolMap
from pollenloom.admission.ticket import Ticket
from pollenloom.configuration.configuration_service import (
    ConfigurationService,
)
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import AccountId, PoolId, ServiceId, VmId
from pollenloom.kernel.clock import Clock
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.membership import Membership
from pollenloom.peers.peer_message import PeerMessage
from pollenloom.peers.peer_network import PeerNetwork

MessageT = TypeVar('MessageT', bound=PeerMessage)
LocalHandler = Callable[[VmId, Any], None]


@dataclass(slots=True)
class AdmissionScope:
    """Services that admission uses, the pools and their current owners.

    Attributes:
        clock: Source of the time.
        configuration: Configuration in force.
        membership: Live routers.
        peers: Network between routers.
        stream: Identifies this run of the router process.
        shard_servers: Most servers that one pool shard may have.
        epochs: Highest fencing number seen of each pool.
        pool_map: Pools of the configuration in force.
        owners: Owner of each pool.
        expects_other_routers: Whether the settings name other routers to join.
        local_handlers: Handlers of messages that this VM sends to itself.
        event_log: Records the owners' decisions as events.
    """

    clock: Clock
    configuration: ConfigurationService
    membership: Membership
    peers: PeerNetwork
    stream: int
    shard_servers: int
    epochs: EpochTable = field(default_factory=EpochTable)
    pool_map: PoolMap = field(default_factory=PoolMap)
    owners: dict[PoolId, VmId] = field(default_factory=dict)
    expects_other_routers: bool = False
    local_handlers: dict[type[PeerMessage], LocalHandler] = field(
        default_factory=dict
    )
    event_log: PoolEventLog = field(default_factory=PoolEventLog)

    @classmethod
    def from_kernel(cls, kernel: Kernel, shard_servers: int) -> Self:
        """Find the services that admission uses.

        They are found by their abstract base classes, which mypy does not
        accept as `type[...]`.
        """
        return cls(
            clock=kernel.clock,
            configuration=kernel.find(
                KernelServiceName.CONFIGURATION,
                ConfigurationService,
            ),
            membership=kernel.find(
                KernelServiceName.MEMBERSHIP,
                Membership,
            ),
            peers=kernel.find(
                KernelServiceName.PEERS,
                PeerNetwork,
            ),
            # Milliseconds are enough to distinguish the runs on one VM.
            stream=int(kernel.clock.wall() * 1000),
            shard_servers=shard_servers,
            event_log=PoolEventLog.from_kernel(kernel),
        )

    @property
    def local_vm(self) -> VmId:
        """Id of this VM."""
        return self.membership.local_member.vm

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic()

    def refresh(self) -> None:
        """Derive pools and owners from configuration and membership."""
        pool_map = PoolMap()
        for service in self.configuration.current.services:
            servers = self.usable_servers(service)
            pool_map.add_service(service, servers, self.shard_servers)
        self.pool_map = pool_map
        self.owners = {
            pool.pool: self.ranking(pool)[0] for pool in pool_map.pools.values()
        }

    def usable_servers(self, service: ServiceId) -> list[BackendServer]:
        """Servers that may get new requests of a service."""
        return list(self.configuration.servers(service))

    def ranking(self, pool: Pool) -> tuple[VmId, ...]:
        """Live VMs that may own a pool, the owner first."""
        ranked = self.membership.ranked(pool.pool, pool.data_centre)
        # The ranking is empty until this VM has joined the fleet.
        return ranked or (self.local_vm,)

    def successor_vms(self, pool: Pool) -> tuple[VmId, ...]:
        """VM that would own the pool if this one failed; at most one.

        Without another live VM in the data centre of the pool, it is the
        first of the other data centres.
        """
        ranked = self.ranking(pool)
        if len(ranked) > 1:
            return ranked[1:2]
        all_vms = self.membership.ranked(pool.pool)
        return tuple(vm for vm in all_vms if vm != self.local_vm)[:1]

    def required_epoch(self, epoch: int) -> int:
        """Return a fencing number that supersedes one seen on a server."""
        return epoch + 1

    def routers(self) -> tuple[VmId, ...]:
        """VMs that may hold grants: all members and this VM."""
        members = {member.vm for member in self.membership.members()}
        return tuple(sorted(members | {self.local_vm}))

    def awaited_routers(self) -> tuple[VmId, ...]:
        """Routers whose reports an owner awaits before it grants.

        A VM that is to join other routers but has found none cannot know all
        holders of grants. The empty id stands for them: it never reports, so
        that the owner waits for the whole takeover timeout.
        """
        routers = self.routers()
        if self.expects_other_routers and len(routers) == 1:
            return (*routers, VmId(''))
        return routers

    def service_file(self, service: ServiceId) -> ServiceFile | None:
        """Entry of a service in the configuration in force."""
        return self.configuration.current.services.get(service)

    def shares(self, service: ServiceId) -> dict[AccountId, float]:
        """Shares of the client accounts of a service."""
        entry = self.service_file(service)
        if entry is None:
            return {}
        return {account.name: account.share for account in entry.accounts}

    def queue_limit(self, ticket: Ticket) -> int:
        """Requests of the ticket's account that may wait on one router."""
        entry = self.service_file(ticket.service)
        account = entry.find_account(ticket.account) if entry else None
        return account.max_waiting if account else 0

    def pools_of(self, service: ServiceId) -> list[Pool]:
        """Pools that requests of this router may use.

        Those of the router's own data centre come first. Pools of other data
        centres are included if the service allows it, or if it is not
        offered in this data centre.
        """
        pools = self.pool_map.by_service.get(service, [])
        local_data_centre = self.membership.local_member.data_centre
        local_pools = [
            pool for pool in pools if pool.data_centre == local_data_centre
        ]
        entry = self.service_file(service)
        if entry is None:
            return []
        if (
            entry.cross_data_centre
            or local_data_centre not in entry.data_centres
        ):
            return local_pools + [
                pool for pool in pools if pool.data_centre != local_data_centre
            ]
        return local_pools

    def is_local(self, pool: Pool) -> bool:
        """Whether a pool is in the data centre of this VM."""
        return pool.data_centre == self.membership.local_member.data_centre

    def subscribe(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], None],
    ) -> None:
        """Call the handler for messages of other VMs and of this one."""
        self.local_handlers[message_type] = handler
        self.peers.subscribe(message_type, handler)

    def send(self, vm: VmId, message: PeerMessage) -> None:
        """Send a message; one to this VM goes straight to its handler.

        That handler runs in a later iteration of the event loop, as for a
        message from the network.
        """
        if vm != self.local_vm:
            self.peers.send(vm, message)
            return
        handler = self.local_handlers[type(message)]
        asyncio.get_running_loop().call_soon(handler, vm, message)
