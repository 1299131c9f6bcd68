"""The membership service."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.core.units import MILLISECONDS
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.fleet_joiner import FleetJoiner
from pollenloom.membership.fleet_view import FleetView
from pollenloom.membership.heartbeats import Heartbeats
from pollenloom.membership.member import Member
from pollenloom.membership.member_table import MemberTable
from pollenloom.membership.membership import Membership
from pollenloom.peers.peer_links import PeerLinks

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.log_service.vm_entry import VmEntry
    from pollenloom.settings.router_settings import RouterSettings

FLUSH_SECONDS = 0.5


class GossipMembership(Membership):
    """Membership by heartbeats and gossip on O(log n) links.

    The incarnation starts at the wall time in milliseconds, so that it
    exceeds the one of an earlier process on the same VM.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        own: Member,
        seeds: Iterable[str],
    ) -> None:
        self.kernel = kernel
        self.table = MemberTable(own)
        self.view = FleetView(self.table)
        self.peers = kernel.find(
            KernelServiceName.PEERS,
            # The kernel only checks the type and makes no instance.
            PeerLinks,
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
        """Make the membership of a router; the peer network is there."""
        own = Member(
            vm=settings.vm,
            data_centre=settings.data_centre,
            peer_address=settings.peers.advertise or settings.peers.listen,
            operator_address=settings.operators,
            incarnation=int(kernel.clock.wall() * MILLISECONDS),
            state=MemberState.ALIVE,
        )
        return cls(kernel, own, settings.peers.seeds)

    @property
    def own(self) -> Member:
        """Entry of this VM."""
        return self.table.own

    async def start(self) -> None:
        """Start heartbeats and the search for other routers."""
        self.table.own = msgspec.structs.replace(
            self.own,
            peer_address=self.peers.address,
        )
        self.table.replace_own(self.own.state, self.own.incarnation)
        self.view.refresh()
        self.heartbeats.connect()
        self.kernel.spawn('heartbeats', self.heartbeats.run())
        self.kernel.spawn('fleet joiner', self.joiner.run())

    async def leave(self) -> None:
        """Tell the others that this VM leaves.

        Its pools go to other owners while it still serves its callers.
        """
        self.become_leaving()
        await self.peers.flush(FLUSH_SECONDS)

    async def stop(self) -> None:
        """Nothing to release."""

    def become_leaving(self) -> None:
        """Become leaving and tell the links at once."""
        if self.own.state is MemberState.LEAVING:
            return
        now = self.kernel.clock.monotonic()
        self.table.leave()
        self.heartbeats.follow(now)
        self.heartbeats.beat(now)

    def members(self) -> tuple[Member, ...]:
        """All known members, the dead ones not, sorted by VM id."""
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

    def watch(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the set of live VMs."""
        self.view.listeners.append(listener)

    def links(self) -> frozenset[VmId]:
        """VMs to which this VM sends news."""
        return self.view.targets

    def announce_registers(self, digest: int) -> None:
        """Send the hash of the registers with each heartbeat."""
        self.heartbeats.register_digest = digest

    def learn_addresses(self, entries: Iterable['VmEntry']) -> None:
        """Take the routers of the platform's list as join candidates."""
        self.joiner.learn(entries)
