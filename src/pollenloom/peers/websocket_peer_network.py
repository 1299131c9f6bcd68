"""Peer network over websockets."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from websockets.asyncio.server import Server, serve

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.peers.fleet_key import FleetKey
from pollenloom.peers.handshake import Handshake
from pollenloom.peers.idle_sweeper import IdleSweeper
from pollenloom.peers.link_options import LINK_OPTIONS
from pollenloom.peers.observable_peer_network import (
    LinkListener,
    ObservablePeerNetwork,
)
from pollenloom.peers.peer_connections import PeerConnections
from pollenloom.peers.peer_dialler import PeerDialler
from pollenloom.peers.peer_dispatcher import PeerDispatcher
from pollenloom.peers.peer_frame import FrameKind, PeerFrame
from pollenloom.peers.peer_identity import PeerIdentity
from pollenloom.peers.peer_message import PeerMessage
from pollenloom.peers.peer_network import MessageT
from pollenloom.peers.peer_queue import QueuedFrame
from pollenloom.peers.peer_reporter import PeerReporter

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.settings.router_settings import RouterSettings

FLUSH_POLL_SECONDS = 0.01
PROCESS_NUMBER_BITS = 62


class WebsocketPeerNetwork(ObservablePeerNetwork):
    """Peer network with one websocket for each pair of routers.

    A connection is opened when the first message is queued for a peer.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        vm: VmId,
        data_centre: DataCentreId,
        listen: str,
        advertise: str,
        fleet_key: FleetKey,
    ) -> None:
        self.kernel = kernel
        self.vm = vm
        self.data_centre = data_centre
        self.listen = listen
        self.advertised = advertise or listen
        self.process = secrets.randbits(PROCESS_NUMBER_BITS)
        self.reporter = PeerReporter(kernel)
        self.dispatcher = PeerDispatcher(
            kernel,
            self.reporter.counters,
            self.send_frame,
        )
        self.connections = PeerConnections(
            kernel,
            vm,
            PeerDialler(
                Handshake(fleet_key, self.local_identity),
                listen.partition(':')[0],
            ),
            self.dispatcher,
            self.reporter,
        )
        self.server: Server | None = None

    @classmethod
    def from_config(
        cls,
        kernel: 'Kernel',
        settings: 'RouterSettings',
    ) -> 'WebsocketPeerNetwork':
        """Create the network of a router; reads the fleet key file.

        Raises:
            OSError: If the fleet key file cannot be read.
            ValueError: If the fleet key is too short.
        """
        return cls(
            kernel,
            settings.vm,
            settings.data_centre,
            settings.peers.listen,
            settings.peers.advertise,
            FleetKey.from_file(settings.peers.fleet_key_file),
        )

    @property
    def address(self) -> str:
        """`host:port` to which other routers connect; known after start."""
        return self.advertised

    async def start(self) -> None:
        """Listen for other routers."""
        self.reporter.publish_metrics()
        host, _, port = self.listen.partition(':')
        self.server = await serve(
            self.connections.accept,
            host,
            int(port),
            server_header=None,
            **LINK_OPTIONS,
        )
        sweeper = IdleSweeper(self.vm, self.connections.connections)
        self.kernel.spawn('peer sweeper', sweeper.run())
        if self.advertised.endswith(':0'):
            bound = next(iter(self.server.sockets)).getsockname()
            host = self.advertised.partition(':')[0]
            self.advertised = f'{host}:{bound[1]}'

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
            await self.connections.close()
            await self.server.wait_closed()

    def add_link_listener(self, listener: LinkListener) -> None:
        """Call `listener(vm, event)` after each change of a connection."""
        self.reporter.listeners.append(listener)

    def subscribe(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], None],
    ) -> None:
        """Call `handler(sender, message)` for each message of that type."""
        self.dispatcher.subscribe(message_type, handler)

    def set_request_handler(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], Awaitable[PeerMessage]],
    ) -> None:
        """Set the handler of requests of that type; it returns the reply."""
        self.dispatcher.set_request_handler(message_type, handler)

    def send(self, vm: VmId, message: PeerMessage) -> bool:
        """Queue a message; return whether it was queued."""
        return self.send_frame(vm, PeerFrame(FrameKind.MESSAGE, 0, message))

    def send_all(self, vms: Iterable[VmId], message: PeerMessage) -> None:
        """Queue one message for several other VMs; it is encoded once."""
        frame = PeerFrame(FrameKind.MESSAGE, 0, message)
        encoded = self.dispatcher.codec.encode(frame)
        for vm in vms:
            self.connections.enqueue(vm, QueuedFrame(encoded))

    async def request(
        self,
        vm: VmId,
        message: PeerMessage,
        reply_type: type[MessageT],
        timeout_seconds: float,
    ) -> Result[MessageT, Failure]:
        """Send a message and wait for the reply to it."""
        self.dispatcher.codec.register(reply_type)
        replies = self.dispatcher.replies
        correlation = replies.add(vm)
        frame = PeerFrame(FrameKind.REQUEST, correlation, message)
        if not self.send_frame(vm, frame):
            replies.fail(
                correlation, f'not sent: {vm} has no address or a full queue'
            )
        outcome = await replies.wait(correlation, timeout_seconds)
        if outcome.is_error():
            self.connections.cancel(vm, correlation)
            return Error(outcome.error)
        if isinstance(outcome.ok, reply_type):
            return Ok(outcome.ok)
        return Error(
            Failure(ErrorKind.PROTOCOL_ERROR, 'unexpected type of reply')
        )

    async def connect(self, address: str) -> Result[VmId, Failure]:
        """Connect to an address and return the VM that accepts there."""
        return await self.connections.open(address)

    def disconnect(self, vm: VmId) -> None:
        """Close the connections with a VM and drop its queued frames."""
        self.connections.disconnect(vm)

    async def flush(self, timeout_seconds: float) -> bool:
        """Wait until the queues of open connections are empty.

        Returns False if they are not within the timeout.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                while self.connections.has_unsent():
                    await asyncio.sleep(FLUSH_POLL_SECONDS)
        except TimeoutError:
            return False
        return True

    def local_identity(self) -> PeerIdentity:
        """Return the identity of this router for a handshake."""
        return PeerIdentity(
            self.vm,
            self.data_centre,
            self.connections.address_resolver.membership.local_member.incarnation,
            self.advertised,
            self.process,
        )

    def send_frame(self, vm: VmId, frame: PeerFrame) -> bool:
        """Queue a frame for a peer, or deliver it if it is for this VM.

        Returns whether the frame was queued or delivered.
        """
        if vm == self.vm:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.dispatcher.deliver, vm, frame)
            if frame.kind is FrameKind.REQUEST:
                self.dispatcher.replies.mark_sent(frame.correlation)
            return True
        correlation = 0
        if frame.kind is FrameKind.REQUEST:
            correlation = frame.correlation
        encoded = self.dispatcher.codec.encode(frame)
        return self.connections.enqueue(vm, QueuedFrame(encoded, correlation))
