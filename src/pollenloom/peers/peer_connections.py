"""Connections between this router and its peers."""

import asyncio
import random
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from websockets.exceptions import ConnectionClosed

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.peers.idle_sweeper import IDLE_REASON
from pollenloom.peers.link_options import MAX_FRAME_BYTES
from pollenloom.peers.observable_peer_network import LinkEvent
from pollenloom.peers.peer_address_resolver import PeerAddressResolver
from pollenloom.peers.peer_connection import PeerConnection
from pollenloom.peers.peer_dialler import PeerDialler
from pollenloom.peers.peer_frame import FrameError
from pollenloom.peers.peer_link import PeerLink

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection
    from websockets.asyncio.server import ServerConnection

    from pollenloom.core.ids import VmId
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.peers.peer_dispatcher import PeerDispatcher
    from pollenloom.peers.peer_identity import PeerIdentity
    from pollenloom.peers.peer_queue import QueuedFrame
    from pollenloom.peers.peer_reporter import PeerReporter

FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2
PROTOCOL_ERROR_CODE = 1002


class PeerConnections:
    """Opens, accepts, replaces and closes connections.

    Each connection has a reader task and a writer task. A dialler task runs
    for a peer while messages wait for a connection with it.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        local_vm: 'VmId',
        dialler: PeerDialler,
        dispatcher: 'PeerDispatcher',
        reporter: 'PeerReporter',
    ) -> None:
        self.kernel = kernel
        self.local_vm = local_vm
        self.dialler = dialler
        self.dispatcher = dispatcher
        self.reporter = reporter
        self.address_resolver = PeerAddressResolver(kernel)
        self.links: dict[VmId, PeerLink] = {}
        self.connections: set[PeerConnection] = set()
        self.is_stopping = False

    def enqueue(self, vm: 'VmId', frame: 'QueuedFrame') -> bool:
        """Queue an encoded frame and connect to the peer if needed.

        Returns False if the frame is dropped: the VM has no address, the
        frame is too large or the queue is full.
        """
        link = self.links.get(vm)
        is_open = link is not None and link.is_open
        if not is_open and self.address_resolver.resolve(vm) is None:
            return False
        if link is None:
            link = self.links.setdefault(vm, PeerLink(vm))
        is_too_large = len(frame.encoded) > MAX_FRAME_BYTES
        if is_too_large or not link.queue.push(frame):
            self.reporter.counters.dropped += 1
            return False
        self.dial_if_needed(link)
        return True

    async def open(
        self,
        address: str,
        expected: 'VmId | None' = None,
    ) -> Result['VmId', Failure]:
        """Connect to an address and start to read from the connection.

        If `expected` is set, only that VM may accept.

        Errors:
            PEER_UNAVAILABLE: Nothing listens there, or an unexpected VM does.
            PEER_TIMEOUT: There was no response, or the connection broke.
            PROTOCOL_ERROR: The other side is not a router of this fleet.
        """
        outcome = await self.dialler.dial(address)
        if outcome.is_error():
            if outcome.error.kind is ErrorKind.PROTOCOL_ERROR:
                self.reporter.record_rejection(address, outcome.error.detail)
            return Error(outcome.error)
        dialled = outcome.ok
        vm = dialled.identity.vm
        if vm == self.local_vm or vm != (expected or vm):
            await dialled.socket.close()
            detail = f'unexpected VM {vm} at {address}'
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
        connection = self.add_connection(
            dialled.socket, dialled.identity, self.local_vm
        )
        self.kernel.spawn(f'peer reader {vm}', self.read(connection))
        return Ok(vm)

    async def accept(self, socket: 'ServerConnection') -> None:
        """Serve an incoming connection until it ends, as its reader task."""
        outcome = await self.dialler.handshake.accept(socket)
        host, port = socket.remote_address[:2]
        if outcome.is_error():
            if outcome.error.kind is ErrorKind.PROTOCOL_ERROR:
                self.reporter.record_rejection(
                    f'{host}:{port}', outcome.error.detail
                )
            return
        identity = outcome.ok
        if identity.vm == self.local_vm:
            # A router that lists itself as a seed connects to itself.
            local = self.dialler.handshake.local_identity()
            if identity.process != local.process:
                self.reporter.record_rejection(
                    f'{host}:{port}', 'uses the VM id of this router'
                )
            return
        await self.read(self.add_connection(socket, identity, identity.vm))

    def disconnect(self, vm: 'VmId') -> None:
        """Close the connections with a VM and drop its queued frames."""
        link = self.links.pop(vm, None)
        if link is None:
            return
        self.discard_queue(link, 'disconnected')
        for connection in tuple(self.connections):
            if connection.remote.vm == vm:
                # A frozen peer never completes a closing handshake.
                connection.socket.transport.abort()

    def cancel(self, vm: 'VmId', correlation: int) -> None:
        """Cancel a queued request whose requester no longer waits."""
        link = self.links.get(vm)
        if link is not None:
            link.queue.cancel(correlation)

    def has_unsent(self) -> bool:
        """Whether open connections have frames to send."""
        return any(
            link.is_open and link.queue.frames for link in self.links.values()
        )

    async def close(self) -> None:
        """Close all connections and open no new ones."""
        self.is_stopping = True
        await asyncio.gather(
            *[connection.socket.close() for connection in self.connections],
        )

    def dial_if_needed(self, link: PeerLink) -> None:
        """Start the dialler task of a peer if it is needed and not running."""
        if self.is_stopping or link.is_dialling or not link.needs_connection:
            return
        link.is_dialling = True
        self.kernel.spawn(f'peer dialler {link.vm}', self.dial(link))

    async def dial(self, link: PeerLink) -> None:
        """Retry to connect with backoff while frames wait."""
        backoff = FIRST_BACKOFF_SECONDS
        while link.needs_connection and not self.is_stopping:
            if not await self.connect_once(link):
                await asyncio.sleep(backoff * random.uniform(0.5, 1))
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
        link.is_dialling = False

    async def connect_once(self, link: PeerLink) -> bool:
        """Try to connect once; return whether to stop trying.

        Returns True after a success, and if the peer no longer has an
        address.
        """
        address = self.address_resolver.resolve(link.vm)
        if address is None:
            self.discard_queue(link, 'no address')
            return True
        outcome = await self.open(address, link.vm)
        if outcome.is_ok():
            return True
        event = LinkEvent.UNREACHABLE
        if outcome.error.kind is ErrorKind.PEER_UNAVAILABLE:
            event = LinkEvent.REFUSED
        self.reporter.notify(link.vm, event)
        return False

    def add_connection(
        self,
        socket: 'Connection',
        identity: 'PeerIdentity',
        connector: 'VmId',
    ) -> PeerConnection:
        """Use a new connection, or close it if the current one is kept.

        Both are read until they end, since the peer may have sent frames on
        either of them.
        """
        now = self.kernel.clock.monotonic()
        connection = PeerConnection(socket, identity, connector, now)
        self.connections.add(connection)
        link = self.links.setdefault(identity.vm, PeerLink(identity.vm))
        superseded = link.attach(connection, self.local_vm)
        if superseded is not None:
            self.kernel.spawn(
                f'peer closer {link.vm}',
                superseded.socket.close(),
            )
        if superseded is not connection:
            self.kernel.spawn(
                f'peer writer {link.vm}',
                self.write(link, connection),
            )
            self.reporter.notify(link.vm, LinkEvent.OPENED)
        return connection

    async def read(self, connection: PeerConnection) -> None:
        """Deliver the frames of a peer until its connection ends."""
        vm = connection.remote.vm
        socket = connection.socket
        try:
            while True:
                encoded = await socket.recv(decode=False)
                connection.frame_count += 1
                self.dispatcher.receive(vm, encoded)
        except FrameError as error:
            self.reporter.record_rejection(vm, str(error))
            await socket.close(PROTOCOL_ERROR_CODE)
        except ConnectionClosed as closed:
            self.reporter.record_close(vm, closed)
        finally:
            self.remove_connection(connection)

    async def write(self, link: PeerLink, connection: PeerConnection) -> None:
        """Send queued frames to a peer while it uses this connection."""
        while True:
            await link.queue.wait()
            if link.connection is not connection or not connection.is_open:
                return
            if not link.queue.frames:
                continue
            frame = link.queue.pop()
            if frame.is_cancelled:
                continue
            connection.frame_count += 1
            self.dispatcher.replies.mark_sent(frame.correlation)
            self.reporter.counters.count_sent(len(frame.encoded))
            try:
                await connection.socket.send(frame.encoded)
            except ConnectionClosed:
                return

    def remove_connection(self, connection: PeerConnection) -> None:
        """Remove a closed connection.

        If it was in use and not closed as idle, the requests sent to the VM
        fail and the listeners are notified.
        """
        self.connections.discard(connection)
        vm = connection.remote.vm
        link = self.links.get(vm)
        if link is None or not link.detach(connection):
            return
        if connection.socket.close_reason != IDLE_REASON:
            self.dispatcher.replies.connection_lost(vm)
            self.reporter.notify(vm, LinkEvent.LOST)
        self.dial_if_needed(link)

    def discard_queue(self, link: PeerLink, reason: str) -> None:
        """Drop the queued frames of a peer and fail its queued requests."""
        for frame in link.queue.clear():
            self.dispatcher.replies.fail(frame.correlation, reason)
