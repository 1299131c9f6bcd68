"""Fake kernel services of a small fleet in one process."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from typing import Any

import cbor2
import msgspec
from expression import Error, Ok, Result

from pollenloom.admission.admission import Admission
from pollenloom.admission.admission_status import (
    AccountStatus,
    AdmissionStatus,
    PoolStatus,
    ServerStatus,
)
from pollenloom.admission.grant import Grant
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.ticket import Ticket
from pollenloom.configuration.account_entry import AccountEntry
from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.configuration_service import ConfigurationService
from pollenloom.configuration.move_entry import MoveEntry
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    MoveId,
    PoolId,
    Revision,
    ServerId,
    ServiceId,
    VersionId,
    VmId,
)
from pollenloom.core.states import (
    DataCentreState,
    MemberState,
    MoveState,
    Resource,
)
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.membership.member import Member
from pollenloom.membership.membership import Membership
from pollenloom.membership.register_value import RegisterValue
from pollenloom.membership.registers import Registers
from pollenloom.moves.move_record import MoveRecord
from pollenloom.peers.peer_message import PeerMessage
from pollenloom.peers.peer_network import MessageT, PeerNetwork

MODEL = ServiceId('minutes')
HENGELO = DataCentreId('hengelo')
ALMELO = DataCentreId('almelo')
SERVER = BackendServer(
    server=ServerId('server-1'),
    service=MODEL,
    data_centre=HENGELO,
    version=VersionId('v1'),
    address='127.0.0.1:9001',
    slots=8,
    cold_slots=2,
)
SERVICE = ServiceFile(
    service=MODEL,
    resource=Resource.MODEL,
    shutdown_date=datetime(2030, 1, 1, tzinfo=UTC),
    data_centres=(HENGELO, ALMELO),
    versions=(VersionId('v1'), VersionId('v2')),
    accounts=(AccountEntry(name=AccountId('striker-club'), share=2),),
    move=MoveEntry(
        name=MoveId('minutes-v2'),
        from_version=VersionId('v1'),
        to_version=VersionId('v2'),
        start=datetime(2029, 1, 1, tzinfo=UTC),
        finish_by=datetime(2029, 1, 2, tzinfo=UTC),
    ),
)
RequestHandler = Callable[[VmId, Any], Awaitable[PeerMessage]]


class NoOpService(KernelService):
    """Service whose start and stop do nothing."""

    async def start(self) -> None:
        """Do nothing: the fake has no tasks or connections."""

    async def stop(self) -> None:
        """Do nothing: the fake has no tasks or connections."""


class FakeFleetState:
    """State that the fakes of all routers share.

    Attributes:
        networks: Peer network of each router.
        configurations: Configuration service of each router.
        unresponsive: Routers that never reply and get no state changes.
        members: Members of the fleet.
    """

    def __init__(self) -> None:
        self.networks: dict[VmId, FakePeerNetwork] = {}
        self.configurations: dict[VmId, FakeFleetConfiguration] = {}
        self.unresponsive: set[VmId] = set()
        self.members: tuple[Member, ...] = ()


class FakePeerNetwork(NoOpService, PeerNetwork):
    """Passes requests between routers; unresponsive ones never reply."""

    def __init__(self, fleet: FakeFleetState, vm: VmId) -> None:
        self.fleet = fleet
        self.vm = vm
        self.request_handlers: dict[type[PeerMessage], RequestHandler] = {}
        fleet.networks[vm] = self

    def send(self, vm: VmId, message: PeerMessage) -> bool:
        return False

    async def request(
        self,
        vm: VmId,
        message: PeerMessage,
        reply_type: type[MessageT],
        timeout_seconds: float,
    ) -> Result[MessageT, Failure]:
        if vm in self.fleet.unresponsive:
            await asyncio.Event().wait()
        if vm not in self.fleet.networks:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, 'no connection'))
        handler = self.fleet.networks[vm].request_handlers[type(message)]
        reply = await handler(self.vm, transfer(message, type(message)))
        return Ok(transfer(reply, reply_type))

    def subscribe(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], None],
    ) -> None:
        raise NotImplementedError

    def set_request_handler(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], Awaitable[PeerMessage]],
    ) -> None:
        self.request_handlers[message_type] = handler


def transfer(message: PeerMessage, expected: type[MessageT]) -> MessageT:
    """Encode and decode a message as the peer network does."""
    encoded = cbor2.dumps(msgspec.to_builtins(message))
    return msgspec.convert(cbor2.loads(encoded), expected)


class FakeFleetMembership(NoOpService, Membership):
    """Membership with all members of the fleet."""

    def __init__(self, fleet: FakeFleetState, member: Member) -> None:
        self.fleet = fleet
        self.member = member

    @property
    def local_member(self) -> Member:
        return self.member

    def members(self) -> tuple[Member, ...]:
        return self.fleet.members

    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        return tuple(member.vm for member in self.fleet.members)

    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        return self.live()

    def add_listener(self, listener: Callable[[], None]) -> None:
        raise NotImplementedError


class FakeFleetConfiguration(NoOpService, ConfigurationService):
    """Configuration of one service.

    States of data centres are copied to all routers that are responsive.
    """

    def __init__(self, fleet: FakeFleetState, vm: VmId) -> None:
        self.fleet = fleet
        self.configuration = Configuration(
            revision=Revision(7),
            services={MODEL: SERVICE},
            publish_id='publish-1',
            publisher='operator-1',
        )
        self.states: dict[DataCentreId, DataCentreState] = {}
        self.listeners: list[Callable[[], None]] = []
        fleet.configurations[vm] = self

    @property
    def current(self) -> Configuration:
        return self.configuration

    @property
    def is_complete(self) -> bool:
        return bool(self.current.revision)

    def servers(self, service: ServiceId) -> tuple[BackendServer, ...]:
        return (SERVER,)

    def data_centre_state(self, data_centre: DataCentreId) -> DataCentreState:
        return self.states.get(data_centre, DataCentreState.IN_SERVICE)

    def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.apply(data_centre, state)
        for vm, other in self.fleet.configurations.items():
            if vm not in self.fleet.unresponsive:
                loop.call_later(0.01, other.apply, data_centre, state)

    def apply(self, data_centre: DataCentreId, state: DataCentreState) -> None:
        self.states[data_centre] = state
        for listener in self.listeners:
            listener()

    def watch(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)


class FakeAdmission(NoOpService, Admission):
    """Admission with one pool and one account.

    All counts derive from `load`, which differs between routers.
    """

    def __init__(self, vm: VmId, load: int) -> None:
        self.vm = vm
        self.load = load

    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        raise NotImplementedError

    def settle(self, settlement: Settlement) -> None:
        raise NotImplementedError

    def status(self, now: float) -> AdmissionStatus:
        server = ServerStatus(
            server=SERVER.server,
            version=SERVER.version,
            in_flight=self.load,
            limit=4,
            slots=SERVER.slots,
            cold=False,
            leaving=False,
        )
        pool = PoolStatus(
            pool=PoolId('minutes/hengelo/0'),
            service=MODEL,
            data_centre=HENGELO,
            owner=VmId('vm-2'),
            epoch=3,
            waiting=self.load,
            servers=(server,),
        )
        account = AccountStatus(
            account=AccountId('striker-club'),
            service=MODEL,
            share=2,
            served=self.load * 100,
            virtual_time=self.load * 50,
            waiting=self.load,
        )
        return AdmissionStatus(
            policy='allocator',
            waiting=self.load,
            pools=(pool,),
            accounts=(account,),
        )


class FakeRegisters(NoOpService, Registers):
    """Registers with one move that its evaluator has reverted."""

    def get(self, key: str) -> RegisterValue | None:
        record = MoveRecord(
            move=MoveId('minutes-v2'),
            service=MODEL,
            from_version=VersionId('v1'),
            to_version=VersionId('v2'),
            state=MoveState.REVERTED,
            stage=0,
            since=0,
            decided_at=9,
            reason='bad on route chat',
        )
        return RegisterValue(1, 'vm-1', msgspec.msgpack.encode(record))

    def keys(self, prefix: str) -> tuple[str, ...]:
        return (f'{prefix}minutes-v2',)

    def put(self, key: str, register: RegisterValue) -> bool:
        raise NotImplementedError

    def watch(
        self,
        prefix: str,
        listener: Callable[[str, RegisterValue], None],
    ) -> None:
        raise NotImplementedError


def make_member(number: int, data_centre: DataCentreId) -> Member:
    """Return the member entry of a router."""
    return Member(
        vm=VmId(f'vm-{number}'),
        data_centre=data_centre,
        peer_address=f'127.0.0.1:{9100 + number}',
        operator_address=f'127.0.0.1:{9200 + number}',
        incarnation=1,
        state=MemberState.ALIVE,
    )
