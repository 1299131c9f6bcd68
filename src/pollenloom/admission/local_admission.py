"""Admission by what this router sees, without asking others."""

import asyncio
from collections import defaultdict
from contextlib import ExitStack
from itertools import count
from typing import Final

from expression import Error, Ok, Result

from pollenloom.admission.admission import Admission
from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.admission.grant import Grant
from pollenloom.admission.held_grant import HeldGrant
from pollenloom.admission.local_backlog import WaitingTicket
from pollenloom.admission.local_pool import LocalPool
from pollenloom.admission.placement import Placement
from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.server_judge import judge_server
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.ticket import Ticket
from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import GrantId, PoolId, ServiceId
from pollenloom.core.states import Outcome
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.cold_server_turn import (
    CLOSED,
    ColdServerTurn,
    cold_turn,
)
from pollenloom.routing.service_load import ServiceLoad

GRANT_SECONDS: Final = 0.5
# Cold servers and idle windows free up with time, without an event.
RECHECK_SECONDS: Final = 0.05
SHORTEST_RETRY_SECONDS: Final = 0.3

Reply = asyncio.Future[Grant]


class LocalAdmission(Admission):
    """Fair queue and send windows of one router.

    No answer depends on another machine, so a silent peer stops nothing.
    Limits over the whole fleet are kept by an even part for each router.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.pools: dict[ServiceId, LocalPool] = defaultdict(LocalPool)
        self.replies: dict[WaitingTicket, Reply] = {}
        self.held: dict[GrantId, HeldGrant] = {}
        self.numbers = count(1)
        self.has_waiting = asyncio.Event()

    async def start(self) -> None:
        """Find the catalogue and follow its changes."""
        self.catalogue = self.kernel.find(
            KernelServiceName.CATALOGUE,
            Catalogue,
        )
        self.fleet_directory = self.kernel.find(
            KernelServiceName.FLEET_DIRECTORY,
            FleetDirectory,
        )
        self.exchange = self.kernel.find(
            KernelServiceName.LOAD_EXCHANGE,
            LoadExchange,
        )
        self.exchange.local_loads = self.local_loads
        self.catalogue.watch(self.pump_all)
        self.kernel.spawn('admission-recheck', self.recheck())

    async def stop(self) -> None:
        """Withdraw what waits."""
        for reply in self.replies.values():
            reply.cancel()

    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        """Wait for a grant; see `Admission.acquire`."""
        now = self.kernel.clock.monotonic()
        if not self.catalogue.directory.usable(ticket.service, now):
            return Error(self.refuse(ticket, 'no server is registered'))
        pool = self.pools[ticket.service]
        waiting = WaitingTicket(ticket, now)
        reply: Reply = asyncio.get_running_loop().create_future()
        self.replies[waiting] = reply
        pool.put(waiting)
        with ExitStack() as stack:
            stack.callback(self.withdraw, waiting)
            self.pump(ticket.service)
            if reply.done():
                return Ok(reply.result())
            expected = pool.expected_wait(ticket, now)
            limit = pool.longest_wait(ticket)
            if expected > limit:
                reason = f'expected wait {expected:.2f} s, limit {limit:.2f} s'
                return Error(self.refuse(ticket, reason))
            return await self.wait(ticket, reply, now)

    def withdraw(self, waiting: WaitingTicket) -> None:
        """Forget a request that waits no longer."""
        self.replies.pop(waiting, None)
        self.pools[waiting.ticket.service].backlog.remove(waiting)

    async def wait(
        self,
        ticket: Ticket,
        reply: Reply,
        now: float,
    ) -> Result[Grant, Failure]:
        """Wait for a reply as long as the answer can still be of use."""
        self.has_waiting.set()
        limit = self.pools[ticket.service].longest_wait(ticket)
        seconds = min(limit, ticket.deadline - now)
        try:
            await asyncio.wait((reply,), timeout=max(0, seconds))
        except asyncio.CancelledError:
            if reply.done():
                unused = Settlement(
                    grant=reply.result(),
                    outcome=Outcome.UNUSED,
                )
                self.settle(unused)
            raise
        if reply.done():
            return Ok(reply.result())
        return Error(self.refuse(ticket, f'no room within {seconds:.2f} s'))

    def refuse(self, ticket: Ticket, reason: str) -> Failure:
        """Return a refusal that says when to come back."""
        now = self.kernel.clock.monotonic()
        wait = self.pools[ticket.service].expected_wait(ticket, now)
        return Failure(
            ErrorKind.NO_CAPACITY,
            reason,
            retry_after_seconds=max(SHORTEST_RETRY_SECONDS, wait),
        )

    def local_loads(self) -> dict[ServiceId, ServiceLoad]:
        """Return what other routers are told of this one."""
        now = self.kernel.clock.monotonic()
        return {
            service: pool.load(self.exchange.vm, now)
            for service, pool in self.pools.items()
        }

    def cold_turn(self, service: ServiceId) -> ColdServerTurn | None:
        """Return when this router may send to cold servers."""
        profile = self.catalogue.directory.profiles.get(service)
        if profile is None or profile.cold_rate <= 0:
            return None
        position = self.fleet_directory.position()
        if position is None:
            return CLOSED
        wall = self.kernel.clock.wall()
        return cold_turn(
            profile.cold_rate, position.rank, position.routers, wall
        )

    def pump_all(self) -> None:
        """Send what may be sent, after a change of the catalogue."""
        for service, pool in tuple(self.pools.items()):
            pool.servers.retain(self.catalogue.directory.servers)
            self.pump(service)

    def pump(self, service: ServiceId) -> None:
        """Answer waiting requests for which a server has room."""
        pool = self.pools[service]
        if not pool.backlog.queues:
            return
        now = self.kernel.clock.monotonic()
        servers = self.catalogue.directory.usable(service, now)
        context = SelectionContext(
            now,
            self.cold_turn(service),
            self.exchange.elsewhere(service, now),
        )
        for waiting, placement in pool.send(servers, context):
            grant = self.make_grant(waiting.ticket, placement, now)
            reply = self.replies.get(waiting)
            if reply is None or reply.done():
                self.settle(Settlement(grant=grant, outcome=Outcome.UNUSED))
            else:
                reply.set_result(grant)

    def make_grant(
        self,
        ticket: Ticket,
        placement: Placement,
        now: float,
    ) -> Grant:
        """Return the grant for a placement and remember it."""
        entry = placement.known.entry
        grant = Grant(
            grant_id=GrantId(str(next(self.numbers))),
            pool=PoolId(ticket.service),
            account=ticket.account,
            route=ticket.route,
            server=BackendServer(
                server=entry.server,
                service=entry.service,
                data_centre=entry.data_centre,
                version=entry.version,
                address=entry.address,
                slots=entry.slots,
                cold_slots=1,
            ),
            epoch=0,
            expires_at=now + GRANT_SECONDS,
            charged=ticket.cost_hint,
        )
        self.held[grant.grant_id] = HeldGrant(placement)
        return grant

    def observe_first_byte(self, grant: Grant, seconds: float) -> None:
        """Free the window's room and adapt it."""
        held = self.held.get(grant.grant_id)
        if held is None or held.is_read:
            return
        held.is_read = True
        now = self.kernel.clock.monotonic()
        cost = held.placement.cost
        load = self.pools[grant.server.service].servers.load(
            grant.server.server,
            now,
        )
        objective = self.pools[grant.server.service].tightest_objective
        load.window.observe(seconds, cost, objective, now)
        load.window.released(cost)
        load.health.observe_latency(seconds, now)
        self.pump(grant.server.service)

    def settle(self, settlement: Settlement) -> None:
        """Free what the request held and judge the server."""
        grant = settlement.grant
        held = self.held.pop(grant.grant_id, None)
        if held is None:
            return
        now = self.kernel.clock.monotonic()
        pool = self.pools[grant.server.service]
        load = pool.servers.load(grant.server.server, now)
        load.in_flight -= 1
        if not held.is_read:
            load.window.released(held.placement.cost)
        directory = self.catalogue.directory
        known = directory.servers.get(
            grant.server.server,
            held.placement.known,
        )
        judge_server(settlement, known, load.health, directory, now)
        self.pump(grant.server.service)

    async def recheck(self) -> None:
        """Look again at what waits, since limits ease with time."""
        while True:
            await self.has_waiting.wait()
            await asyncio.sleep(RECHECK_SECONDS)
            self.pump_all()
            if not any(pool.backlog.queues for pool in self.pools.values()):
                self.has_waiting.clear()

    def status(self, now: float) -> AdmissionStatus:
        """Tell how much waits."""
        waiting = sum(
            len(queue)
            for pool in self.pools.values()
            for queue in pool.backlog.queues.values()
        )
        return AdmissionStatus(policy='local', waiting=waiting)
