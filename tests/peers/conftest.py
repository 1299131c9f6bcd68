"""Fixture of routers that know their addresses without gossip."""

from collections.abc import AsyncIterator, Callable
from typing import ClassVar

import pytest

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.member import Member
from pollenloom.membership.membership import Membership
from pollenloom.observability.event_log import EventLog
from pollenloom.peers.fleet_key import FleetKey
from pollenloom.peers.websocket_peer_network import WebsocketPeerNetwork

KEY = FleetKey(b'key of the fleet in tests')


class StaticMembership(Membership):
    """Membership whose entries a test sets."""

    name: ClassVar[KernelServiceName] = KernelServiceName.MEMBERSHIP

    def __init__(self, vm: VmId, entries: dict[VmId, Member]) -> None:
        self.vm = vm
        self.entries = entries

    @property
    def local_member(self) -> Member:
        return self.entries[self.vm]

    async def start(self) -> None:
        """Do nothing: the entries are static."""

    async def stop(self) -> None:
        """Do nothing: no task runs."""

    def members(self) -> tuple[Member, ...]:
        return tuple(self.entries.values())

    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        return tuple(self.entries)

    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        return tuple(self.entries)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Ignore the listener: the service reports no changes."""


class PeerFleet:
    """Peer networks of several routers that share one membership."""

    def __init__(self) -> None:
        self.entries: dict[VmId, Member] = {}
        self.kernels: list[Kernel] = []

    async def add(
        self,
        name: str,
        key: FleetKey = KEY,
        listen: str = '127.0.0.1:0',
    ) -> WebsocketPeerNetwork:
        """Start the peer network of another router."""
        vm = VmId(name)
        data_centre = DataCentreId('enschede')
        kernel = Kernel()
        network = WebsocketPeerNetwork(kernel, vm, data_centre, listen, '', key)
        kernel.register(EventLog(kernel.clock))
        kernel.register(network)
        kernel.register(StaticMembership(vm, self.entries))
        self.kernels.append(kernel)
        await kernel.start()
        self.entries[vm] = Member(
            vm=vm,
            data_centre=data_centre,
            peer_address=network.address,
            operator_address='',
            incarnation=1,
            state=MemberState.ALIVE,
        )
        return network


@pytest.fixture
async def peer_fleet() -> AsyncIterator[PeerFleet]:
    fleet = PeerFleet()
    yield fleet
    for kernel in fleet.kernels:
        await kernel.stop()
