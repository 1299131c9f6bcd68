"""Connections of this router with its peers."""

import asyncio
import random
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from websockets.exceptions import ConnectionClosed

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.peers.address_book import AddressBook
from pollenloom.peers.idle_sweeper import IDLE_REASON
from pollenloom.peers.link_options import MAX_FRAME_BYTES
from pollenloom.peers.peer_connection import PeerConnection
from pollenloom.peers.peer_dialler import PeerDialler
from pollenloom.peers.peer_frame import FrameError
from pollenloom.peers.peer_link import PeerLink
from pollenloom.peers.peer_links import LinkEvent

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
    """Opens, accepts, replaces and ends connections.

    Each connection has a reader task and a writer task. A dialler task runs
    for a peer while messages wait for a connection with it.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        own_vm: 'VmId',
        dialler: PeerDialler,
        dispatcher: 'PeerDispatcher',
        reporter: 'PeerReporter',
    ) -> None:
        self.kernel = kernel
        self.own_vm = own_vm
        self.dialler = dialler
        self.dispatcher = dispatcher
        self.reporter = reporter
        self.addresses = AddressBook(kernel)
        self.links: dict[VmId, PeerLink] = {}
        self.connections: set[PeerConnection] = set()
        self.is_stopping = False

    def push(self, vm: 'VmId', frame: 'QueuedFrame') -> bool:
        """Queue an encoded frame and see to it that a connection opens."""
        link = self.links.get(vm)
        is_open = link is not None and link.is_open
        if not is_open and self.addresses.lookup(vm) is None:
            return False
        if link is None:
            link = self.links.setdefault(vm, PeerLink(vm))
        is_too_large = len(frame.encoded) > MAX_FRAME_BYTES
        if is_too_large or not link.queue.push(frame):
            self.reporter.counters.dropped += 1
            return False
        self.dial_if_wanted(link)
        return True

    async def open(
        self,
        address: str,
        expected: 'VmId | None' = None,
    ) -> Result['VmId', Failure]:
        """Connect to an address and start to read from it.

        Errors:
            PEER_UNAVAILABLE: Nothing listens there, or another VM.
            PEER_TIMEOUT: There was no answer, or the connection broke.
            PROTOCOL_ERROR: The other side is no router of this fleet.
        """
        outcome = await self.dialler.dial(address)
        if outcome.is_error():
            if outcome.error.kind is ErrorKind.PROTOCOL_ERROR:
                self.reporter.reject(address, outcome.error.detail)
            return Error(outcome.error)
        dialled = outcome.ok
        vm = dialled.identity.vm
        if vm == self.own_vm or vm != (expected or vm):
            await dialled.socket.close()
            detail = f'{vm} accepts at {address}'
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
        connection = self.adopt(dialled.socket, dialled.identity, self.own_vm)
        self.kernel.spawn(f'peer reader {vm}', self.read(connection))
        return Ok(vm)

    async def accept(self, socket: 'ServerConnection') -> None:
        """Serve one incoming connection; this is its reader task."""
        outcome = await self.dialler.handshake.accept(socket)
        host, port = socket.remote_address[:2]
        if outcome.is_error():
            if outcome.error.kind is ErrorKind.PROTOCOL_ERROR:
                self.reporter.reject(f'{host}:{port}', outcome.error.detail)
            return
        identity = outcome.ok
        if identity.vm == self.own_vm:
            # A router that lists itself as a seed connects to itself.
            own = self.dialler.handshake.own_identity()
            if identity.process != own.process:
                self.reporter.reject(f'{host}:{port}', 'uses our VM id')
            return
        await self.read(self.adopt(socket, identity, identity.vm))

    def disconnect(self, vm: 'VmId') -> None:
        """Close the connections with a VM and drop what is queued for it."""
        link = self.links.pop(vm, None)
        if link is None:
            return
        self.discard(link, 'disconnected')
        for connection in tuple(self.connections):
            if connection.remote.vm == vm:
                # A frozen peer never answers a closing handshake.
                connection.socket.transport.abort()

    def abandon(self, vm: 'VmId', correlation: int) -> None:
        """Keep a request that nobody waits for from being sent."""
        link = self.links.get(vm)
        if link is not None:
            link.queue.abandon(correlation)

    def has_unsent(self) -> bool:
        """Whether messages wait on an open connection."""
        return any(
            link.is_open and link.queue.frames for link in self.links.values()
        )

    async def close(self) -> None:
        """Close all connections and open no more."""
        self.is_stopping = True
        await asyncio.gather(
            *[connection.socket.close() for connection in self.connections],
        )

    def dial_if_wanted(self, link: PeerLink) -> None:
        """Start the task that connects to a peer, unless it runs."""
        if self.is_stopping or link.is_dialling or not link.wants_connection:
            return
        link.is_dialling = True
        self.kernel.spawn(f'peer dialler {link.vm}', self.dial(link))

    async def dial(self, link: PeerLink) -> None:
        """Try to connect while messages wait."""
        backoff = FIRST_BACKOFF_SECONDS
        while link.wants_connection and not self.is_stopping:
            if not await self.try_address(link):
                await asyncio.sleep(backoff * random.uniform(0.5, 1))
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
        link.is_dialling = False

    async def try_address(self, link: PeerLink) -> bool:
        """Connect once; return whether there is nothing left to try."""
        address = self.addresses.lookup(link.vm)
        if address is None:
            self.discard(link, 'no address')
            return True
        outcome = await self.open(address, link.vm)
        if outcome.is_ok():
            return True
        event = LinkEvent.UNREACHABLE
        if outcome.error.kind is ErrorKind.PEER_UNAVAILABLE:
            event = LinkEvent.REFUSED
        self.reporter.notify(link.vm, event)
        return False

    def adopt(
        self,
        socket: 'Connection',
        identity: 'PeerIdentity',
        connector: 'VmId',
    ) -> PeerConnection:
        """Use a new connection, or close it if another one stays.

        Both are read until they end: the peer may have sent on either.
        """
        now = self.kernel.clock.monotonic()
        connection = PeerConnection(socket, identity, connector, now)
        self.connections.add(connection)
        link = self.links.setdefault(identity.vm, PeerLink(identity.vm))
        superseded = link.adopt(connection, self.own_vm)
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
        """Deliver what a peer sends until its connection ends."""
        vm = connection.remote.vm
        socket = connection.socket
        try:
            while True:
                encoded = await socket.recv(decode=False)
                connection.frames += 1
                self.dispatcher.receive(vm, encoded)
        except FrameError as error:
            self.reporter.reject(vm, str(error))
            await socket.close(PROTOCOL_ERROR_CODE)
        except ConnectionClosed as closed:
            self.reporter.closed(vm, closed)
        finally:
            self.release(connection)

    async def write(self, link: PeerLink, connection: PeerConnection) -> None:
        """Send what is queued for a peer while the connection is in use."""
        while True:
            await link.queue.wait()
            if link.connection is not connection or not connection.is_open:
                return
            if not link.queue.frames:
                continue
            frame = link.queue.pop()
            if frame.abandoned:
                continue
            connection.frames += 1
            self.dispatcher.replies.mark_sent(frame.correlation)
            self.reporter.counters.count_sent(len(frame.encoded))
            try:
                await connection.socket.send(frame.encoded)
            except ConnectionClosed:
                return

    def release(self, connection: PeerConnection) -> None:
        """Forget a closed connection and tell the listeners."""
        self.connections.discard(connection)
        vm = connection.remote.vm
        link = self.links.get(vm)
        if link is None or not link.release(connection):
            return
        if connection.socket.close_reason != IDLE_REASON:
            self.dispatcher.replies.connection_lost(vm)
            self.reporter.notify(vm, LinkEvent.LOST)
        self.dial_if_wanted(link)

    def discard(self, link: PeerLink, reason: str) -> None:
        """Drop what is queued for a peer and fail its requests."""
        for frame in link.queue.clear():
            self.dispatcher.replies.fail(frame.correlation, reason)
