"""Tests of the peer network over websockets."""

import asyncio

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.peers import handshake_messages
from pollenloom.peers.fleet_key import FleetKey
from pollenloom.peers.handshake import Handshake
from pollenloom.peers.idle_sweeper import IDLE_REASON, IdleSweeper
from pollenloom.peers.observable_peer_network import LinkEvent
from pollenloom.peers.peer_identity import PeerIdentity
from pollenloom.peers.peer_link import QUEUE_LIMIT
from pollenloom.peers.peer_message import PeerMessage
from pollenloom.peers.websocket_peer_network import WebsocketPeerNetwork
from tests.fleet import eventually
from tests.peers.conftest import KEY, PeerFleet
from tests.peers.messages import Ping, Pong, Unregistered

REPLY_SECONDS = 10


def collect_pings(
    network: WebsocketPeerNetwork,
) -> list[tuple[VmId, PeerMessage]]:
    """Return a list to which each received ping is appended."""
    received: list[tuple[VmId, PeerMessage]] = []
    network.subscribe(
        Ping,
        lambda sender, message: received.append((sender, message)),
    )
    return received


def rejection_reasons(network: WebsocketPeerNetwork) -> list[str]:
    """Return the reasons for which a router rejected connections."""
    events = network.kernel.find(KernelServiceName.EVENTS, EventLog).events
    return [
        str(event.fields['reason'])
        for event in events
        if event.name == 'peer_rejected'
    ]


async def open_raw(network: WebsocketPeerNetwork) -> ClientConnection:
    """Return a websocket that has passed the handshake."""
    identity = PeerIdentity(
        VmId('vm-raw'),
        network.data_centre,
        1,
        '127.0.0.1:1',
        1,
    )
    socket = await connect(f'ws://{network.address}', proxy=None)
    outcome = await Handshake(KEY, lambda: identity).connect(socket)
    assert outcome.is_ok()
    return socket


async def request_ping(sender: WebsocketPeerNetwork, vm: str) -> bool:
    """Return whether a ping gets its reply."""
    outcome = await sender.request(VmId(vm), Ping(7), Pong, REPLY_SECONDS)
    return outcome.is_ok() and outcome.ok == Pong(7)


async def reply_to_ping(sender: VmId, message: Ping) -> Pong:  # ruff: ignore[unused-async] interface
    """Return the reply to a ping."""
    return Pong(message.number)


async def test_messages_arrive_in_order(peer_fleet: PeerFleet) -> None:
    """Guards against lost or reordered messages while a connection opens."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2', listen='127.0.0.2:0')
    received = collect_pings(second)
    for number in range(QUEUE_LIMIT):
        assert first.send(second.vm, Ping(number))
    assert not first.send(second.vm, Ping(QUEUE_LIMIT))
    assert first.reporter.counters.dropped == 1
    await eventually(lambda: len(received) == QUEUE_LIMIT)
    assert received == [(first.vm, Ping(n)) for n in range(QUEUE_LIMIT)]


async def test_connections_leave_from_the_listen_address(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against connections with another source address.

    Network faults injected by source address would not affect them.
    """
    first = await peer_fleet.add('vm-1', listen='127.0.0.21:0')
    second = await peer_fleet.add('vm-2', listen='127.0.0.22:0')
    second.set_request_handler(Ping, reply_to_ping)
    assert await request_ping(first, 'vm-2')
    connections = tuple(second.connections.connections)
    assert connections[0].socket.remote_address[0] == '127.0.0.21'


async def test_messages_to_the_local_router_are_delivered(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against a router that cannot send messages to itself.

    The owner of a pool may be the router that uses it.
    """
    network = await peer_fleet.add('vm-1')
    received = collect_pings(network)
    network.set_request_handler(Ping, reply_to_ping)
    assert network.send(network.vm, Ping(1))
    assert not received
    assert await request_ping(network, 'vm-1')
    assert received == [(network.vm, Ping(1))]


async def test_simultaneous_connections_leave_one(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against two or no connections after both sides connect."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    at_first, at_second = collect_pings(first), collect_pings(second)
    for number in range(20):
        first.send(second.vm, Ping(number))
        second.send(first.vm, Ping(number))
    await eventually(lambda: len(at_first) == len(at_second) == 20)
    await eventually(
        lambda: all(
            len(network.connections.connections) == 1
            for network in (first, second)
        ),
    )
    connections = tuple(second.connections.connections)
    assert connections[0].connector == first.vm


async def test_failed_request_reports_whether_it_was_sent(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against repeating a request that may have been handled.

    A request that was sent fails as PEER_TIMEOUT, an unsent one as
    PEER_UNAVAILABLE.
    """
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    started = asyncio.Event()

    async def hang(sender: VmId, message: Ping) -> Pong:
        started.set()
        await asyncio.Event().wait()
        return Pong(message.number)

    second.set_request_handler(Ping, hang)
    unknown = await first.request(VmId('vm-9'), Ping(1), Pong, 1)
    assert unknown.error.kind is ErrorKind.PEER_UNAVAILABLE
    request = asyncio.create_task(
        first.request(second.vm, Ping(1), Pong, REPLY_SECONDS),
    )
    await started.wait()
    await peer_fleet.kernels.pop().stop()
    assert (await request).error.kind is ErrorKind.PEER_TIMEOUT
    unsent = await first.request(second.vm, Ping(1), Pong, 0.2)
    assert unsent.error.kind is ErrorKind.PEER_UNAVAILABLE


async def test_reconnects_and_notifies_listeners(peer_fleet: PeerFleet) -> None:
    """Guards against a peer that stays disconnected after a restart."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    second.set_request_handler(Ping, reply_to_ping)
    events: list[LinkEvent] = []
    first.add_link_listener(lambda _, event: events.append(event))
    assert await request_ping(first, 'vm-2')
    await peer_fleet.kernels.pop().stop()
    await eventually(lambda: LinkEvent.LOST in events)
    first.send(second.vm, Ping(2))
    await eventually(lambda: LinkEvent.REFUSED in events)
    restarted = await peer_fleet.add('vm-2', listen=second.address)
    received = collect_pings(restarted)
    await eventually(lambda: received == [(first.vm, Ping(2))])


async def test_idle_connection_is_closed_but_not_lost(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against accumulating connections and false losses.

    A connection closed as idle must not be reported as lost.
    """
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    second.set_request_handler(Ping, reply_to_ping)
    events: list[LinkEvent] = []
    second.add_link_listener(lambda _, event: events.append(event))
    assert await request_ping(first, 'vm-2')
    sweeper = IdleSweeper(first.vm, first.connections.connections)
    assert not sweeper.find_idle()
    assert await request_ping(first, 'vm-2')
    assert not sweeper.find_idle()
    for connection in sweeper.find_idle():
        await connection.socket.close(reason=IDLE_REASON)
    await eventually(lambda: not second.connections.connections)
    assert not first.connections.connections
    assert events == [LinkEvent.OPENED]
    assert await request_ping(first, 'vm-2')


async def test_handler_exception_does_not_affect_others(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against one faulty handler that ends the connection."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')

    def fail(sender: VmId, message: Ping) -> None:
        raise ValueError('fault of a service')

    second.subscribe(Ping, fail)
    received = collect_pings(second)
    first.send(second.vm, Ping(1))
    first.send(second.vm, Ping(2))
    await eventually(lambda: len(received) == 2)
    assert len(second.connections.connections) == 1
    assert not rejection_reasons(second)


async def test_wrong_key_is_rejected(peer_fleet: PeerFleet) -> None:
    """Guards against connections with a router of another fleet."""
    first = await peer_fleet.add('vm-1')
    foreign_router = await peer_fleet.add(
        'vm-2', FleetKey(b'key of another fleet')
    )
    received = collect_pings(first)
    outcome = await foreign_router.connect(first.address)
    assert outcome.is_error()
    await eventually(lambda: rejection_reasons(first) == ['wrong fleet key'])
    outcome = await first.connect(foreign_router.address)
    assert outcome.is_error()
    assert not first.connections.connections
    assert not received


async def test_accepting_side_proves_the_key(peer_fleet: PeerFleet) -> None:
    """Guards against a listener that has not proved the fleet key.

    The foreign router accepts any proof, as an impostor could, but cannot
    make one.
    """
    first = await peer_fleet.add('vm-1')
    foreign_router = await peer_fleet.add(
        'vm-2', FleetKey(b'key of another fleet')
    )
    foreign_key = foreign_router.connections.dialler.handshake.fleet_key
    foreign_key.verifies = lambda *_: True  # type: ignore[method-assign]
    outcome = await first.connect(foreign_router.address)
    assert outcome.error.detail == 'wrong fleet key'
    assert rejection_reasons(first) == ['wrong fleet key']


async def test_wrong_version_is_rejected(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against frames of another version that a router misreads."""
    network = await peer_fleet.add('vm-1')
    identity = PeerIdentity(VmId('vm-2'), network.data_centre, 1, '', 1)
    handshake = Handshake(KEY, lambda: identity)
    nonce = bytes(16)
    async with connect(f'ws://{network.address}', proxy=None) as socket:
        await handshake.receive(socket, handshake_messages.Challenge)
        hello = handshake_messages.Hello(2, identity, nonce, nonce)
        await handshake.send(socket, hello)
        with pytest.raises(ConnectionClosed):
            await socket.recv()
    await eventually(lambda: len(rejection_reasons(network)) == 1)
    assert rejection_reasons(network)[0].startswith('protocol version 2')


@pytest.mark.parametrize(
    'frame',
    [
        b'\x00',
        cbor2.dumps([0, 0, ['Ping', 'no number']]),
        cbor2.dumps([0, 0, [Unregistered.__name__, 1]]),
        bytes(1_048_577),
    ],
    ids=['no message', 'invalid field', 'unknown type', 'too large'],
)
async def test_invalid_frame_closes_its_connection(
    peer_fleet: PeerFleet,
    frame: bytes,
) -> None:
    """Guards against an invalid frame that is ignored or affects others."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    first.set_request_handler(Ping, reply_to_ping)
    assert await request_ping(second, 'vm-1')
    socket = await open_raw(first)
    await socket.send(frame)
    with pytest.raises(ConnectionClosed):
        await socket.recv()
    await eventually(lambda: len(rejection_reasons(first)) == 1)
    assert await request_ping(second, 'vm-1')
    assert len(first.connections.connections) == 1


@settings(max_examples=30)
@given(chunks=st.lists(st.binary(max_size=100), max_size=4))
def test_random_bytes_do_not_stop_the_network(chunks: list[bytes]) -> None:
    """Guards against random bytes that stop the network.

    They are sent both instead of a handshake and after one.
    """

    async def send_chunks() -> None:
        fleet = PeerFleet()
        first = await fleet.add('vm-1')
        second = await fleet.add('vm-2')
        first.set_request_handler(Ping, reply_to_ping)
        host, _, port = first.address.partition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b''.join(chunks))
        writer.close()
        socket = await open_raw(first)
        try:
            for frame in chunks:
                await socket.send(frame)
        except ConnectionClosed:
            assert rejection_reasons(first)
        assert await request_ping(second, 'vm-1')
        for kernel in fleet.kernels:
            await kernel.stop()

    asyncio.run(send_chunks())
