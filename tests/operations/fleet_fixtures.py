"""Fixtures of a fleet of three routers in one process."""

from collections.abc import AsyncIterator

import aiohttp
import pytest

from pollenloom.kernel.kernel import Kernel
from pollenloom.membership.member import Member
from pollenloom.observability.event_log import EventLog
from pollenloom.operations.bearer_token import BearerToken
from pollenloom.operations.operator_server import OperatorServer
from tests.operations.fakes import (
    ALMELO,
    HENGELO,
    FakeAdmission,
    FakeFleetConfiguration,
    FakeFleetMembership,
    FakeFleetState,
    FakePeerNetwork,
    FakeRegisters,
    make_member,
)

TOKEN = 'a-token-of-operators'


class OperatorRouter:
    """Router with the operators' server and fakes of the other services."""

    def __init__(
        self, fleet: FakeFleetState, member: Member, load: int
    ) -> None:
        self.kernel = Kernel()
        self.events = EventLog(self.kernel.clock)
        self.configuration = FakeFleetConfiguration(fleet, member.vm)
        self.operations = OperatorServer(
            self.kernel,
            '127.0.0.1:0',
            BearerToken(TOKEN.encode()),
            f'operators-{member.vm}',
        )
        self.kernel.register(self.events)
        self.kernel.register(self.operations)
        self.kernel.register(FakePeerNetwork(fleet, member.vm))
        self.kernel.register(FakeFleetMembership(fleet, member))
        self.kernel.register(FakeRegisters())
        self.kernel.register(self.configuration)
        self.kernel.register(FakeAdmission(member.vm, load))

    @property
    def url(self) -> str:
        """Base URL of the operators' server."""
        return f'http://{self.operations.address}'


@pytest.fixture
def fleet() -> FakeFleetState:
    fleet = FakeFleetState()
    fleet.members = (
        make_member(1, HENGELO),
        make_member(2, HENGELO),
        make_member(3, ALMELO),
    )
    return fleet


@pytest.fixture
async def routers(fleet: FakeFleetState) -> AsyncIterator[list[OperatorRouter]]:
    routers = [
        OperatorRouter(fleet, member, load)
        for load, member in enumerate(fleet.members, start=1)
    ]
    for router in routers:
        await router.kernel.start()
    yield routers
    for router in routers:
        await router.kernel.stop()


@pytest.fixture
async def operator() -> AsyncIterator[aiohttp.ClientSession]:
    headers = {'Authorization': f'Bearer {TOKEN}'}
    async with aiohttp.ClientSession(headers=headers) as session:
        yield session
