"""Routers of one fleet that run inside the test process."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from functools import partial
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

# Far above every time limit of the design, for tests under heavy load.
WAIT_SECONDS = 30
POLL_SECONDS = 0.02


@dataclass(eq=False)
class FleetMemberServices:
    """The services of one router that connect it to its peers.

    It has no front end and admits no requests.
    """

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
        """State of another router in the local member table, None if absent."""
        entry = self.membership.table.entries.get(vm)
        return entry.state if entry else None

    def sees(self, routers: 'Iterable[FleetMemberServices]') -> bool:
        """Whether exactly these routers are live in the local membership."""
        vms = sorted(router.vm for router in routers)
        return self.membership.live() == tuple(vms)

    def filter_frames(
        self,
        deliver: Callable[[VmId, Callable[[], None]], None],
    ) -> None:
        """Let a function decide when each received frame is delivered.

        A frame that it never delivers is lost without an error on either
        side, as in a network partition. Each call replaces the function.
        """
        dispatcher = self.network.dispatcher
        receive = type(dispatcher).receive

        def receive_filtered(sender: VmId, encoded: bytes) -> None:
            deliver(sender, partial(receive, dispatcher, sender, encoded))

        dispatcher.receive = receive_filtered  # type: ignore[method-assign]

    def drop_frames_from(self, vms: Collection[VmId]) -> None:
        """Drop all frames from these routers, until the filter is replaced."""

        def deliver(sender: VmId, receive: Callable[[], None]) -> None:
            if sender not in vms:
                receive()

        self.filter_frames(deliver)

    def delay_frames_from(
        self,
        vms: Collection[VmId],
        seconds: Callable[[], float],
    ) -> None:
        """Deliver each frame of these routers after a delay.

        Args:
            vms: Routers whose frames are delayed.
            seconds: Returns the delay of the next frame in seconds.
        """
        loop = asyncio.get_running_loop()

        def deliver(sender: VmId, receive: Callable[[], None]) -> None:
            if sender in vms:
                loop.call_later(seconds(), receive)
            else:
                receive()

        self.filter_frames(deliver)

    async def kill(self) -> None:
        """End the router without closing handshakes, like a killed process."""
        self.network.connections.is_stopping = True
        server = self.network.server
        assert server is not None
        for task in tuple(self.kernel.tasks):
            task.cancel()
        server.close(close_connections=False)
        for connection in tuple(self.network.connections.connections):
            connection.socket.transport.abort()
        await asyncio.sleep(0)


def make_router(
    key_file: Path,
    vm: str,
    data_centre: str = 'enschede',
    seeds: tuple[str, ...] = (),
    listen: str = '127.0.0.1:0',
) -> FleetMemberServices:
    """Create the services of a router without starting them."""
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
    return FleetMemberServices(kernel, events, network, membership, registers)


async def eventually(condition: Callable[[], bool]) -> None:
    """Poll a condition until it holds.

    Raises:
        TimeoutError: If it does not hold within `WAIT_SECONDS`.
    """
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)
