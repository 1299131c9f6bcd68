"""Failures of the network between routers."""

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
from pollenloom.peers.peer_identity import PeerIdentity
from pollenloom.peers.peer_link import QUEUE_LIMIT
from pollenloom.peers.peer_links import LinkEvent
from pollenloom.peers.peer_message import PeerMessage
from pollenloom.peers.websocket_peer_network import WebsocketPeerNetwork
from tests.fleet import eventually
from tests.peers.conftest import KEY, PeerFleet
from tests.peers.messages import Ping, Pong, Unregistered

REPLY_SECONDS = 10


def collect(network: WebsocketPeerNetwork) -> list[tuple[VmId, PeerMessage]]:
    """Return the list to which received pings are added."""
    received: list[tuple[VmId, PeerMessage]] = []
    network.subscribe(
        Ping,
        lambda sender, message: received.append((sender, message)),
    )
    return received


def rejections(network: WebsocketPeerNetwork) -> list[str]:
    """Return the reasons of the rejected connections."""
    events = network.kernel.find(KernelServiceName.EVENTS, EventLog).events
    return [
        str(event.fields['reason'])
        for event in events
        if event.name == 'peer_rejected'
    ]


async def open_raw(network: WebsocketPeerNetwork) -> ClientConnection:
    """Connect as a router that passes the handshake."""
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


async def ping(sender: WebsocketPeerNetwork, vm: str) -> bool:
    """Whether a request gets its reply."""
    outcome = await sender.request(VmId(vm), Ping(7), Pong, REPLY_SECONDS)
    return outcome.is_ok() and outcome.ok == Pong(7)


async def pong(sender: VmId, message: Ping) -> Pong:  # ruff: ignore[unused-async] interface
    """Answer a ping."""
    return Pong(message.number)


async def test_messages_arrive_in_order(peer_fleet: PeerFleet) -> None:
    """Guards against loss and reordering while the connection opens."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2', listen='127.0.0.2:0')
    received = collect(second)
    for number in range(QUEUE_LIMIT):
        assert first.send(second.vm, Ping(number))
    assert not first.send(second.vm, Ping(QUEUE_LIMIT))
    assert first.reporter.counters.dropped == 1
    await eventually(lambda: len(received) == QUEUE_LIMIT)
    assert received == [(first.vm, Ping(n)) for n in range(QUEUE_LIMIT)]


async def test_connections_leave_from_the_listen_address(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against cuts by source address that miss a router's links."""
    first = await peer_fleet.add('vm-1', listen='127.0.0.21:0')
    second = await peer_fleet.add('vm-2', listen='127.0.0.22:0')
    second.answer(Ping, pong)
    assert await ping(first, 'vm-2')
    connections = tuple(second.connections.connections)
    assert connections[0].socket.remote_address[0] == '127.0.0.21'


async def test_own_messages_are_delivered(peer_fleet: PeerFleet) -> None:
    """Guards against an owner that can't reach itself."""
    network = await peer_fleet.add('vm-1')
    received = collect(network)
    network.answer(Ping, pong)
    assert network.send(network.vm, Ping(1))
    assert not received
    assert await ping(network, 'vm-1')
    assert received == [(network.vm, Ping(1))]


async def test_crossing_connections_leave_one(peer_fleet: PeerFleet) -> None:
    """Guards against two connections, or none, when both sides connect."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    at_first, at_second = collect(first), collect(second)
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


async def test_requests_tell_whether_they_were_sent(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against a repeat of a request that may have been handled."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    started = asyncio.Event()

    async def hang(sender: VmId, message: Ping) -> Pong:
        started.set()
        await asyncio.Event().wait()
        return Pong(message.number)

    second.answer(Ping, hang)
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


async def test_reconnects_and_tells_listeners(peer_fleet: PeerFleet) -> None:
    """Guards against a peer that stays lost after a restart."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    second.answer(Ping, pong)
    events: list[LinkEvent] = []
    first.observe(lambda _, event: events.append(event))
    assert await ping(first, 'vm-2')
    await peer_fleet.kernels.pop().stop()
    await eventually(lambda: LinkEvent.LOST in events)
    first.send(second.vm, Ping(2))
    await eventually(lambda: LinkEvent.REFUSED in events)
    again = await peer_fleet.add('vm-2', listen=second.address)
    received = collect(again)
    await eventually(lambda: received == [(first.vm, Ping(2))])


async def test_idle_connection_closes_without_alarm(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against connections that add up, and a closed one seen as lost."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    second.answer(Ping, pong)
    events: list[LinkEvent] = []
    second.observe(lambda _, event: events.append(event))
    assert await ping(first, 'vm-2')
    sweeper = IdleSweeper(first.vm, first.connections.connections)
    assert not sweeper.idle()
    assert await ping(first, 'vm-2')
    assert not sweeper.idle()
    for connection in sweeper.idle():
        await connection.socket.close(reason=IDLE_REASON)
    await eventually(lambda: not second.connections.connections)
    assert not first.connections.connections
    assert events == [LinkEvent.OPENED]
    assert await ping(first, 'vm-2')


async def test_handler_that_raises_harms_nothing(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against one faulty service that cuts the others off."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')

    def fail(sender: VmId, message: Ping) -> None:
        raise ValueError('fault of a service')

    second.subscribe(Ping, fail)
    received = collect(second)
    first.send(second.vm, Ping(1))
    first.send(second.vm, Ping(2))
    await eventually(lambda: len(received) == 2)
    assert len(second.connections.connections) == 1
    assert not rejections(second)


async def test_wrong_key_is_rejected(peer_fleet: PeerFleet) -> None:
    """Guards against a router of another fleet."""
    first = await peer_fleet.add('vm-1')
    stranger = await peer_fleet.add('vm-2', FleetKey(b'key of another fleet'))
    received = collect(first)
    outcome = await stranger.greet(first.address)
    assert outcome.is_error()
    await eventually(lambda: rejections(first) == ['wrong fleet key'])
    outcome = await first.greet(stranger.address)
    assert outcome.is_error()
    assert not first.connections.connections
    assert not received


async def test_accepting_side_proves_the_key(peer_fleet: PeerFleet) -> None:
    """Guards against a listener that takes in routers without the key."""
    first = await peer_fleet.add('vm-1')
    stranger = await peer_fleet.add('vm-2', FleetKey(b'key of another fleet'))
    verifying = stranger.connections.dialler.handshake.fleet_key
    verifying.verifies = lambda *_: True  # type: ignore[method-assign]
    outcome = await first.greet(stranger.address)
    assert outcome.error.detail == 'wrong fleet key'
    assert rejections(first) == ['wrong fleet key']


async def test_wrong_version_is_rejected(
    peer_fleet: PeerFleet,
) -> None:
    """Guards against frames that an older router misreads."""
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
    await eventually(lambda: len(rejections(network)) == 1)
    assert rejections(network)[0].startswith('protocol version 2')


@pytest.mark.parametrize(
    'frame',
    [
        b'\x00',
        cbor2.dumps([0, 0, ['Ping', 'no number']]),
        cbor2.dumps([0, 0, [Unregistered.__name__, 1]]),
        bytes(1_048_577),
    ],
    ids=['no message', 'wrong field', 'unknown type', 'too large'],
)
async def test_broken_frame_closes_its_connection(
    peer_fleet: PeerFleet,
    frame: bytes,
) -> None:
    """Guards against a broken frame that is ignored or harms others."""
    first = await peer_fleet.add('vm-1')
    second = await peer_fleet.add('vm-2')
    first.answer(Ping, pong)
    assert await ping(second, 'vm-1')
    socket = await open_raw(first)
    await socket.send(frame)
    with pytest.raises(ConnectionClosed):
        await socket.recv()
    await eventually(lambda: len(rejections(first)) == 1)
    assert await ping(second, 'vm-1')
    assert len(first.connections.connections) == 1


@settings(max_examples=30)
@given(noise=st.lists(st.binary(max_size=100), max_size=4))
def test_noise_leaves_the_network_up(noise: list[bytes]) -> None:
    """Guards against bytes that stop the network, before a handshake too."""

    async def send_noise() -> None:
        fleet = PeerFleet()
        first = await fleet.add('vm-1')
        second = await fleet.add('vm-2')
        first.answer(Ping, pong)
        host, _, port = first.address.partition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b''.join(noise))
        writer.close()
        socket = await open_raw(first)
        try:
            for frame in noise:
                await socket.send(frame)
        except ConnectionClosed:
            assert rejections(first)
        assert await ping(second, 'vm-1')
        for kernel in fleet.kernels:
            await kernel.stop()

    asyncio.run(send_noise())
