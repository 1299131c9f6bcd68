"""Membership service based on heartbeats and gossip."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.fleet_joiner import FleetJoiner
from pollenloom.membership.fleet_view import FleetView
from pollenloom.membership.heartbeats import Heartbeats
from pollenloom.membership.member import Member
from pollenloom.membership.member_table import MemberTable
from pollenloom.membership.membership import Membership
from pollenloom.peers.observable_peer_network import ObservablePeerNetwork

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.log_service.vm_entry import VmEntry
    from pollenloom.settings.router_settings import RouterSettings

FLUSH_TIMEOUT_SECONDS = 0.5


class GossipMembership(Membership):
    """Membership by heartbeats and gossip on O(log n) links per router.

    The incarnation starts at the wall time in milliseconds, so that it
    exceeds the incarnation of an earlier process on the same VM.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        local_member: Member,
        seeds: Iterable[str],
    ) -> None:
        self.kernel = kernel
        self.table = MemberTable(local_member)
        self.view = FleetView(self.table)
        self.peers = kernel.find(
            KernelServiceName.PEERS,
            # The kernel only checks the type and creates no instance.
            ObservablePeerNetwork,
        )
        self.heartbeats = Heartbeats(
            kernel,
            self.table,
            self.view,
            self.peers,
        )
        self.joiner = FleetJoiner(
            self.table,
            self.peers,
            seeds,
            self.heartbeats.exchange,
        )

    @classmethod
    def from_config(
        cls,
        kernel: 'Kernel',
        settings: 'RouterSettings',
    ) -> 'GossipMembership':
        """Return the service; the kernel must have a peer network already."""
        local_member = Member(
            vm=settings.vm,
            data_centre=settings.data_centre,
            peer_address=settings.peers.advertise or settings.peers.listen,
            operator_address=settings.operators,
            incarnation=int(kernel.clock.wall() * MILLISECONDS_PER_SECOND),
            state=MemberState.ALIVE,
        )
        return cls(kernel, local_member, settings.peers.seeds)

    @property
    def local_member(self) -> Member:
        """Entry of this VM."""
        return self.table.local_member

    async def start(self) -> None:
        """Start heartbeats and the discovery of other routers."""
        self.table.local_member = msgspec.structs.replace(
            self.local_member,
            peer_address=self.peers.address,
        )
        self.table.replace_local_member(
            self.local_member.state, self.local_member.incarnation
        )
        self.view.refresh()
        self.heartbeats.connect()
        self.kernel.spawn('heartbeats', self.heartbeats.run())
        self.kernel.spawn('fleet joiner', self.joiner.run())

    async def leave(self) -> None:
        """Announce to other routers that this VM leaves.

        Its pools move to other owners while it still serves its callers.
        """
        self.become_leaving()
        await self.peers.flush(FLUSH_TIMEOUT_SECONDS)

    async def stop(self) -> None:
        """Do nothing; the kernel cancels the tasks."""

    def become_leaving(self) -> None:
        """Set the state to leaving and announce it on the links at once."""
        if self.local_member.state is MemberState.LEAVING:
            return
        now = self.kernel.clock.monotonic()
        self.table.leave()
        self.heartbeats.apply_table_changes(now)
        self.heartbeats.send_heartbeats(now)

    def members(self) -> tuple[Member, ...]:
        """All known members that are not dead, sorted by VM id."""
        return self.view.members

    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        """Ids of live VMs, of one data centre or of all, sorted."""
        if data_centre is None:
            return self.view.live
        return self.view.live_in(data_centre)

    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        """Live VMs by rendezvous hash of `key`; the first one owns it."""
        return self.view.ranked(key, data_centre)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the set of live VMs."""
        self.view.listeners.append(listener)

    def links(self) -> frozenset[VmId]:
        """VMs to which this VM sends heartbeats and register offers."""
        return self.view.targets

    def set_register_digest(self, digest: int) -> None:
        """Set the hash of the registers that each heartbeat contains."""
        self.heartbeats.register_digest = digest

    def add_addresses(self, entries: Iterable['VmEntry']) -> None:
        """Use the live routers of the platform's VM list to find the fleet."""
        self.joiner.update_listed(entries)
