"""Several routers in one process, with simulated backend servers."""

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

from pollenloom.admission.admission import Admission
from pollenloom.admission.admission_factory import make_admission
from pollenloom.admission.allocator_admission import AllocatorAdmission
from pollenloom.admission.grant import Grant
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.ticket import Ticket
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    RequestId,
    RouteId,
    ServerId,
    VersionId,
    VmId,
)
from pollenloom.core.states import Outcome, Resource
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.membership.member import Member
from pollenloom.settings.router_settings import (
    AdmissionSettings,
)
from tests.admission.fake_services import (
    FakeConfiguration,
    FakeLinks,
    FakeMembership,
    FakePeers,
    member,
)
from tests.admission.fake_settings import (
    ENSCHEDE,
    SERVICE,
    make_configuration,
    make_settings,
)
from tests.admission.simulated_loop import LoopClock

UNLIMITED_WAIT_SECONDS = 1e9
# Time after which a connection to an unreachable server fails.
CONNECT_TIMEOUT_SECONDS = 0.5


def default_cost() -> float:
    """Cost of a request that takes 0.1 s."""
    return 100


Tasks = list[asyncio.Task[None]]


@dataclass
class FakeEngine:
    """A simulated backend server that counts its requests in flight."""

    server: BackendServer
    in_flight: int = 0
    peak: int = 0
    served: int = 0

    async def serve(self, seconds: float) -> None:
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        with ExitStack() as stack:
            stack.callback(self.leave)
            await asyncio.sleep(seconds)
        self.served += 1

    def leave(self) -> None:
        self.in_flight -= 1


@dataclass
class FakeRouter:
    """One router of the fleet."""

    kernel: Kernel
    peers: FakePeers
    membership: FakeMembership
    admission: Admission

    @property
    def allocator_admission(self) -> AllocatorAdmission:
        assert isinstance(self.admission, AllocatorAdmission)
        return self.admission


@dataclass
class FakeFleet:
    """Routers, links and servers.

    A request occupies a slot for 1 ms for each unit of its cost.

    Attributes:
        served: Served cost by account.
        gaps: Service gaps that a test has sampled.
        unreachable: Data centre that each router cannot reach.
        random_source: Source of costs, hint errors and faults.
    """

    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    shares: dict[str, float] = field(
        default_factory=lambda: {'small': 1, 'large': 3}
    )
    cross_data_centre: bool = True
    max_waiting: int = 64
    first_byte_seconds: float = 0.05
    links: FakeLinks = field(default_factory=FakeLinks)
    routers: dict[VmId, FakeRouter] = field(default_factory=dict)
    members: dict[VmId, Member] = field(default_factory=dict)
    engines: dict[ServerId, FakeEngine] = field(default_factory=dict)
    served: dict[str, float] = field(default_factory=dict)
    tasks: dict[VmId, Tasks] = field(default_factory=dict)
    sequence_numbers: 'itertools.count[int]' = field(
        default_factory=itertools.count
    )
    gaps: list[float] = field(default_factory=list)
    unreachable: dict[VmId, DataCentreId] = field(default_factory=dict)
    random_source: random.Random = field(
        default_factory=lambda: random.Random(7)
    )

    def __post_init__(self) -> None:
        """Build the configuration of the fleet."""
        self.configuration = FakeConfiguration(
            make_configuration(
                self.shares,
                self.max_waiting,
                cross_data_centre=self.cross_data_centre,
            )
        )

    def add_server(
        self,
        name: str,
        data_centre: DataCentreId = ENSCHEDE,
        slots: int = 4,
        cold_slots: int = 4,
        version: str = 'v1',
        address: str = '127.0.0.1:1',
    ) -> FakeEngine:
        server = BackendServer(
            server=ServerId(name),
            service=SERVICE,
            data_centre=data_centre,
            version=VersionId(version),
            address=address,
            slots=slots,
            cold_slots=cold_slots,
        )
        self.engines[server.server] = FakeEngine(server)
        self.configuration.backend_servers.append(server)
        self.configuration.changed()
        return self.engines[server.server]

    async def add_router(
        self,
        name: str,
        data_centre: DataCentreId = ENSCHEDE,
        seeds: tuple[str, ...] = (),
        services: Sequence[KernelService] = (),
    ) -> FakeRouter:
        vm = VmId(name)
        entry = member(vm, data_centre)
        kernel = Kernel(LoopClock())
        peers = FakePeers(self.links, vm)
        membership = FakeMembership(entry)
        kernel.register(peers)
        kernel.register(membership)
        kernel.register(self.configuration)
        for service in services:
            kernel.register(service)
        admission = make_admission(
            kernel, make_settings(vm, data_centre, self.admission, seeds)
        )
        kernel.register(admission)
        self.members[vm] = entry
        if not seeds:
            membership.known = dict(self.members)
        await kernel.start()
        self.routers[vm] = FakeRouter(kernel, peers, membership, admission)
        if not seeds:
            self.announce_members()
        return self.routers[vm]

    def announce_members(self) -> None:
        for router in self.routers.values():
            router.membership.set_members(self.members)

    async def kill(self, vm: VmId) -> None:
        """Stop a router; others notice after `announce_members` is called."""
        router = self.routers.pop(vm)
        self.members.pop(vm)
        self.links.handlers.pop(vm)
        await self.stop_callers(vm)
        await router.kernel.stop()

    async def stop_callers(self, *vms: VmId) -> None:
        tasks = [task for vm in vms for task in self.tasks.pop(vm, ())]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self) -> None:
        await self.stop_callers(*self.tasks)
        for router in self.routers.values():
            await router.kernel.stop()

    def ticket(
        self,
        account: str,
        hint: float = 100,
        wait_seconds: float = UNLIMITED_WAIT_SECONDS,
    ) -> Ticket:
        return Ticket(
            request_id=RequestId(str(next(self.sequence_numbers))),
            account=AccountId(account),
            service=SERVICE,
            route=RouteId('chat'),
            resource=Resource.MODEL,
            cost_hint=hint,
            deadline=asyncio.get_running_loop().time() + wait_seconds,
        )

    async def serve(
        self, router: FakeRouter, account: str, cost: float
    ) -> bool:
        """Run one request; return whether it was served."""
        hint_factor = self.random_source.choice((0.1, 1, 10))
        ticket = self.ticket(account, hint=cost * hint_factor)
        acquired = await router.admission.acquire(ticket)
        if acquired.is_error():
            return False
        await self.use(router, acquired.ok, cost)
        return True

    async def use(self, router: FakeRouter, grant: Grant, cost: float) -> None:
        engine = self.engines[grant.server.server]
        settlement = Settlement(grant=grant, outcome=Outcome.CANCELLED)
        if self.unreachable.get(router.peers.vm) == grant.server.data_centre:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            failed = replace(settlement, outcome=Outcome.FAILED)
            router.admission.settle(failed)
            return
        try:
            await engine.serve(cost / 1000)
        except asyncio.CancelledError:
            router.admission.settle(settlement)
            raise
        served = self.served.get(grant.account, 0)
        self.served[grant.account] = served + cost
        router.admission.settle(
            replace(
                settlement,
                outcome=Outcome.SERVED,
                cost=cost,
                first_byte_seconds=self.first_byte_seconds,
            )
        )

    def flood(
        self,
        router: FakeRouter,
        account: str,
        cost: Callable[[], float] = default_cost,
        callers: int = 20,
    ) -> None:
        """Keep this many requests of an account in progress on a router."""
        for _ in range(callers):
            calls = self.send_requests(router, account, cost)
            task = asyncio.get_running_loop().create_task(calls)
            self.tasks.setdefault(router.peers.vm, []).append(task)

    async def send_requests(
        self,
        router: FakeRouter,
        account: str,
        cost: Callable[[], float],
    ) -> None:
        while await self.serve(router, account, cost()):
            """Send the next request at once."""

    def gap(self) -> float:
        """Return the largest difference of cost / share of two accounts."""
        service = [
            self.served.get(account, 0) / share
            for account, share in self.shares.items()
        ]
        return max(service) - min(service)
