"""In-memory services that admission uses, shared by a fleet's routers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import msgspec
import xxhash
from expression import Result

from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.configuration_service import (
    ConfigurationService,
)
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom.core.states import DataCentreState, MemberState
from pollenloom.membership.member import Member
from pollenloom.membership.membership import Membership
from pollenloom.peers.peer_message import PeerMessage
from pollenloom.peers.peer_network import MessageT, PeerNetwork

Handler = Callable[[VmId, Any], None]
Handlers = dict[type[PeerMessage], Handler]
DelayedMessage = tuple[VmId, PeerMessage]


class FakeLinks:
    """All links of the fleet, with delay, loss, cuts and paused routers.

    Attributes:
        random_source: Decides which messages are lost.
        delay: Seconds from sending to delivery.
        loss: Part of the messages that is lost, 0 to 1.
        copies: How often each message is delivered.
        cut: Pairs of routers whose link is cut.
        held: Messages held back for each paused router.
        handlers: Message handlers of each router.
        sent: Messages sent so far.
    """

    def __init__(self, seed: int = 1) -> None:
        self.random_source = random.Random(seed)
        self.delay: float = 0.001
        self.loss: float = 0
        self.copies = 1
        self.cut: set[frozenset[VmId]] = set()
        self.held: dict[VmId, list[DelayedMessage]] = {}
        self.handlers: dict[VmId, Handlers] = {}
        self.sent = 0

    def send(self, sender: VmId, target: VmId, message: PeerMessage) -> None:
        self.sent += 1
        if sender not in self.handlers:
            return
        lost = self.random_source.random() < self.loss
        if lost or frozenset((sender, target)) in self.cut:
            return
        data = cbor2.dumps(msgspec.to_builtins(message))
        copied = msgspec.convert(cbor2.loads(data), type(message))
        loop = asyncio.get_running_loop()
        for _ in range(self.copies):
            loop.call_later(self.delay, self.deliver, sender, target, copied)

    def hold(self, vm: VmId) -> None:
        self.held[vm] = []

    def release(self, vm: VmId) -> None:
        for sender, message in self.held.pop(vm):
            self.deliver(sender, vm, message)

    def deliver(self, sender: VmId, target: VmId, message: PeerMessage) -> None:
        held = self.held.get(target)
        if held is not None:
            held.append((sender, message))
            return
        handler = self.handlers.get(target, {}).get(type(message))
        if handler is not None:
            handler(sender, message)


class FakePeers(PeerNetwork):
    """Peer network of one router."""

    def __init__(self, links: FakeLinks, vm: VmId) -> None:
        self.links = links
        self.vm = vm
        links.handlers[vm] = {}

    async def start(self) -> None:
        """Do nothing; the fake has no task."""

    async def stop(self) -> None:
        self.links.handlers.pop(self.vm, None)

    def send(self, vm: VmId, message: PeerMessage) -> bool:
        self.links.send(self.vm, vm, message)
        return True

    async def request(
        self,
        vm: VmId,
        message: PeerMessage,
        reply_type: type[MessageT],
        timeout_seconds: float,
    ) -> Result[MessageT, Failure]:
        raise NotImplementedError

    def subscribe(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], None],
    ) -> None:
        self.links.handlers[self.vm][message_type] = handler

    def set_request_handler(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], Awaitable[PeerMessage]],
    ) -> None:
        raise NotImplementedError


class FakeMembership(Membership):
    """Membership as one router sees it; set by tests."""

    def __init__(self, own: Member) -> None:
        self.own_member = own
        self.known: dict[VmId, Member] = {own.vm: own}
        self.listeners: list[Callable[[], None]] = []

    @property
    def local_member(self) -> Member:
        return self.own_member

    async def start(self) -> None:
        """Do nothing; the fake has no task."""

    async def stop(self) -> None:
        """Do nothing; the fake has no task."""

    def set_members(self, members: dict[VmId, Member]) -> None:
        self.known = dict(members)
        for listener in self.listeners:
            listener()

    def members(self) -> tuple[Member, ...]:
        return tuple(sorted(self.known.values(), key=lambda known: known.vm))

    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        return tuple(
            member.vm
            for member in self.members()
            if data_centre in {None, member.data_centre} and member.is_live
        )

    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        live = self.live(data_centre) or self.live()
        return tuple(
            sorted(
                live,
                key=lambda vm: xxhash.xxh64_intdigest(f'{key}/{vm}'.encode()),
            )
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)


class FakeConfiguration(ConfigurationService):
    """One configuration, shared by all routers of the fleet."""

    def __init__(self, current: Configuration) -> None:
        self.configuration = current
        self.backend_servers: list[BackendServer] = []
        self.data_centres_out: set[DataCentreId] = set()
        self.listeners: list[Callable[[], None]] = []

    @property
    def current(self) -> Configuration:
        return self.configuration

    async def start(self) -> None:
        """Do nothing; the fake has no task."""

    async def stop(self) -> None:
        """Do nothing; the fake has no task."""

    @property
    def is_complete(self) -> bool:
        return bool(self.current.revision)

    def servers(self, service: ServiceId) -> tuple[BackendServer, ...]:
        return tuple(
            server
            for server in self.backend_servers
            if server.service == service
            and server.data_centre not in self.data_centres_out
        )

    def data_centre_state(self, data_centre: DataCentreId) -> DataCentreState:
        if data_centre in self.data_centres_out:
            return DataCentreState.OUT
        return DataCentreState.IN_SERVICE

    def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> None:
        self.data_centres_out.discard(data_centre)
        if state is DataCentreState.OUT:
            self.data_centres_out.add(data_centre)
        self.changed()

    def changed(self) -> None:
        for listener in self.listeners:
            listener()

    def watch(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)


def member(vm: VmId, data_centre: DataCentreId) -> Member:
    """Return the entry of a live router."""
    return Member(
        vm=vm,
        data_centre=data_centre,
        peer_address='127.0.0.1:1',
        operator_address='127.0.0.1:1',
        incarnation=1,
        state=MemberState.ALIVE,
    )
