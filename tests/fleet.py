"""Routers of one fleet inside the test process."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.kernel.kernel import Kernel
from pollenloom.membership.gossip_membership import GossipMembership
from pollenloom.membership.register_store import RegisterStore
from pollenloom.observability.event_log import EventLog
from pollenloom.peers.websocket_peer_network import WebsocketPeerNetwork
from pollenloom.settings.router_settings import (
    PeerSettings,
    PlatformSettings,
    RouterSettings,
)

# Far above every time that the design states, for loaded machines.
WAIT_SECONDS = 30
POLL_SECONDS = 0.02


@dataclass(eq=False)
class FleetNode:
    """Services of one router without its front end."""

    kernel: Kernel
    events: EventLog
    network: WebsocketPeerNetwork
    membership: GossipMembership
    registers: RegisterStore

    @property
    def vm(self) -> VmId:
        """Id of the VM."""
        return self.network.vm

    def state_of(self, vm: VmId) -> MemberState | None:
        """State of another router as this one sees it."""
        entry = self.membership.table.entries.get(vm)
        return entry.state if entry else None

    async def kill(self) -> None:
        """End the router without any farewell, as a killed process does."""
        self.network.connections.is_stopping = True
        server = self.network.server
        assert server is not None
        for task in tuple(self.kernel.tasks):
            task.cancel()
        server.close(close_connections=False)
        for connection in tuple(self.network.connections.connections):
            connection.socket.transport.abort()
        await asyncio.sleep(0)


def make_node(
    key_file: Path,
    vm: str,
    data_centre: str = 'enschede',
    seeds: tuple[str, ...] = (),
    listen: str = '127.0.0.1:0',
) -> FleetNode:
    """Make the services of a router; they are not started."""
    settings = RouterSettings(
        vm=VmId(vm),
        data_centre=DataCentreId(data_centre),
        callers='127.0.0.1:0',
        operators='127.0.0.1:0',
        operator_token_file=key_file,
        platform=PlatformSettings(url='http://127.0.0.1:1'),
        peers=PeerSettings(
            listen=listen,
            seeds=seeds,
            fleet_key_file=key_file,
        ),
    )
    kernel = Kernel()
    events = EventLog(kernel.clock)
    kernel.register(events)
    network = WebsocketPeerNetwork.from_config(kernel, settings)
    kernel.register(network)
    membership = GossipMembership.from_config(kernel, settings)
    kernel.register(membership)
    registers = RegisterStore.from_config(kernel, settings)
    kernel.register(registers)
    return FleetNode(kernel, events, network, membership, registers)


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)
