"""Admission decided locally, without a request to other routers."""

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from itertools import count
from typing import Final

from expression import Error, Ok, Result

from pollenloom.admission.activity_record import record_activity
from pollenloom.admission.admission import Admission
from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.admission.grant import Grant
from pollenloom.admission.held_grant import HeldGrant
from pollenloom.admission.local_pool import NO_DATA_CENTRE, LocalPool
from pollenloom.admission.placement import Placement
from pollenloom.admission.rate_limits import RateLimits
from pollenloom.admission.request_waits import (
    GrantFuture,
    RequestWaits,
    no_room,
)
from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.server_health_update import update_server_health
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.share_class import ShareClass
from pollenloom.admission.ticket import Ticket
from pollenloom.admission.version_credit import VersionCredit
from pollenloom.admission.version_move_shares import VersionMoveShares
from pollenloom.admission.waiting_ticket import WaitingTicket
from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.failure import Failure
from pollenloom.core.ids import (
    DataCentreId,
    GrantId,
    PoolId,
    ServerId,
    ServiceId,
)
from pollenloom.core.states import Outcome
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.moves.fleet_moves import FleetMoves
from pollenloom.moves.response_report import ResponseReport
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics import Metrics
from pollenloom.routing.cold_server_turn import (
    CLOSED_TURN,
    ColdServerTurn,
    cold_turn,
)
from pollenloom.routing.server_notice import ServerNotice
from pollenloom.routing.service_load import ServiceLoad
from pollenloom.settings.node_settings import SchedulingSettings

# Longer than it takes to connect, and shorter than the time after which
# operators expect that a server which leaves gets nothing more.
GRANT_VALIDITY_SECONDS: Final = 1.5
# Turns for cold servers last less than that.
COLD_GRANT_VALIDITY_SECONDS: Final = 0.5
# Limits on cold servers and queue windows ease with time, without an event.
RECHECK_SECONDS: Final = 0.05


class LocalAdmission(Admission):
    """Admits requests by the fair queues and send windows of one router.

    No decision waits for another router, so an unreachable peer blocks
    nothing. Routers send to cold servers in turn, which keeps the fleet-wide
    rate; other limits include the load that other routers last reported.

    Attributes:
        scheduling: Decisions under load that are switched on.
        data_centre: Data centre of this router.
        pools: Backlog and servers of each service.
        grant_futures: Futures of the requests that wait for a grant.
        held: Placements of the grants that are not settled.
        begun_listeners: Called with each request that begins to run.
        waits: Lets requests wait for their grants.
    """

    def __init__(
        self,
        kernel: Kernel,
        scheduling: SchedulingSettings,
        data_centre: DataCentreId = NO_DATA_CENTRE,
    ) -> None:
        self.kernel = kernel
        self.scheduling = scheduling
        self.data_centre = data_centre
        self.pools: dict[ServiceId, LocalPool] = {}
        self.grant_futures: dict[WaitingTicket, GrantFuture] = {}
        self.held: dict[GrantId, HeldGrant] = {}
        self.grant_numbers = count(1)
        self.begun_listeners: list[Callable[[Ticket], None]] = []
        self.waits = RequestWaits(kernel.clock, self.settle)

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
        self.moves = self.kernel.find(KernelServiceName.MOVES, FleetMoves)
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.rate_limits = RateLimits(self.kernel)
        self.exchange.local_loads = self.local_loads
        self.catalogue.watch(self.grant_all_waiting)
        self.kernel.spawn('admission-recheck', self.recheck())
        self.kernel.spawn(
            'admission-record',
            record_activity(
                self.kernel.clock,
                self.events,
                self.exchange,
                Metrics.shared(self.kernel),
                self.pools,
            ),
        )

    def pool(self, service: ServiceId) -> LocalPool:
        """Return the pool of a service; create it if needed."""
        pool = self.pools.get(service)
        if pool is None:
            shares = VersionMoveShares(self.moves)
            pool = LocalPool(
                VersionCredit(service, shares),
                self.exchange.vm,
                self.scheduling,
                self.data_centre,
            )
            self.pools[service] = pool
        return pool

    async def stop(self) -> None:
        """Cancel all waiting requests."""
        for grant_future in self.grant_futures.values():
            grant_future.cancel()

    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        """Wait for a grant; see `Admission.acquire`."""
        now = self.kernel.clock.monotonic()
        directory = self.catalogue.directory
        pool = self.pool(ticket.service)
        if not directory.has_usable(ticket.service, now):
            refusal = no_room('no server is registered', 0)
            unserved = WaitingTicket(ticket, now)
            return Error(self.waits.reject(pool, unserved, refusal))
        pool.apply_remote_load(self.exchange.remote_load(ticket.service, now))
        if pool.shares.is_due(now):
            servers = directory.usable(ticket.service, now)
            pool.update_shares(self.rate_limits.unlimited(servers), now)
        pool.activity.accounts.record_asked(ticket)
        waiting = pool.waits.arrive(ticket, pool.max_wait(ticket), now)
        grant_future: GrantFuture = asyncio.get_running_loop().create_future()
        self.grant_futures[waiting] = grant_future
        with ExitStack() as stack:
            stack.callback(self.withdraw, waiting)
            if waiting.share_class is not ShareClass.BEYOND:
                pool.put(waiting)
                self.grant_waiting(ticket.service)
            if grant_future.done():
                return Ok(grant_future.result())
            return await self.waits.wait(pool, waiting, grant_future)

    def withdraw(self, waiting: WaitingTicket) -> None:
        """Remove a request that no longer waits."""
        self.grant_futures.pop(waiting, None)
        self.pool(waiting.ticket.service).backlog.remove(waiting)

    def local_loads(self) -> dict[ServiceId, ServiceLoad]:
        """Return the loads that this router reports to others, by service."""
        now = self.kernel.clock.monotonic()
        return {
            service: pool.service_load(now, self.moves.responses(service))
            for service, pool in self.pools.items()
        }

    def cold_turns(
        self, service: ServiceId
    ) -> Callable[[ServerId], ColdServerTurn] | None:
        """Return this router's turns for cold servers; None for no limit."""
        profile = self.catalogue.directory.profiles.get(service)
        if profile is None or profile.cold_rate <= 0:
            return None
        position = self.fleet_directory.position()
        if position is None:
            return lambda _: CLOSED_TURN
        now = self.kernel.clock.monotonic()
        fleet_time: float | None = now
        if position.routers > 1:
            uptime = self.kernel.clock.uptime()
            fleet_time = self.exchange.fleet_clock.settled_time(now, uptime)
        if fleet_time is None:
            return lambda _: CLOSED_TURN
        return partial(cold_turn, profile.cold_rate, position, fleet_time)

    def grant_all_waiting(self) -> None:
        """Grant waiting requests of all services; drop removed servers."""
        for service, pool in tuple(self.pools.items()):
            pool.servers.retain(self.catalogue.directory.servers)
            pool.servers.candidates = None
            self.grant_waiting(service)

    def grant_waiting(self, service: ServiceId) -> None:
        """Grant the waiting requests for which a server has room."""
        pool = self.pool(service)
        if not pool.backlog.queues:
            return
        now = self.kernel.clock.monotonic()
        if not pool.servers.is_evaluated(now):
            servers = self.catalogue.directory.usable(service, now)
            if pool.waits.is_switched_on and pool.shares.is_due(now):
                # Late requests wait for room also while no other comes in.
                pool.update_shares(self.rate_limits.unlimited(servers), now)
            context = SelectionContext(
                now,
                self.cold_turns(service),
                self.exchange.remote_load(service, now),
                lambda version: pool.credit.allows(version, now),
                pool.credit.limited(
                    {known.entry.version for known in servers}, now
                ),
                self.rate_limits.quotas(service, pool.demand.at(now), now),
            )
            pool.evaluate(servers, context)
        for waiting, placement in pool.send(now):
            grant_id = GrantId(str(next(self.grant_numbers)))
            grant = make_grant(grant_id, waiting.ticket, placement, now)
            self.held[grant_id] = HeldGrant(waiting, placement, now)
            grant_future = self.grant_futures.get(waiting)
            if grant_future is None or grant_future.done():
                self.settle(Settlement(grant=grant, outcome=Outcome.UNUSED))
            else:
                grant_future.set_result(grant)

    def observe_first_byte(self, grant: Grant, seconds: float) -> None:
        """Release the prompt's part of the send window and adapt the window."""
        held = self.held.get(grant.grant_id)
        if held is None or held.has_first_byte:
            return
        held.has_first_byte = True
        for listener in self.begun_listeners:
            listener(held.waiting.ticket)
        now = self.kernel.clock.monotonic()
        cost = held.placement.cost
        self.pool(grant.server.service).answers.add(now)
        self.pool(grant.server.service).shares.begun.add(now, grant.charged)
        self.pool(grant.server.service).activity.accounts.record_begun(
            held.waiting, now
        )
        load = self.pool(grant.server.service).servers.server_load(
            grant.server.server,
            now,
        )
        objective = self.pool(grant.server.service).tightest_objective
        speeds = self.pool(grant.server.service).servers.speeds
        read_cost = cost * speeds.slowness(grant.server.server)
        load.window.observe(seconds, read_cost, objective, now)
        load_before = held.placement.load
        # Behind a longer queue, the time tells more of what other routers have
        # sent meanwhile than of the server's speed.
        if load_before.unread <= cost:
            usual = load_before.expected_seconds(cost)
            speeds.observe(grant.server.server, usual, seconds, now)
        load.window.released(cost)
        load.health.observe_latency(seconds, now)
        servers = self.pool(grant.server.service).servers
        servers.server_changed(grant.server.server)
        self.grant_waiting(grant.server.service)

    def observe_notice(self, grant: Grant, notice: ServerNotice) -> None:
        """Record what a server stated of itself; see `Admission`."""
        known = self.catalogue.directory.servers.get(grant.server.server)
        if known is None:
            return
        if notice.states_limit:
            self.rate_limits.observe(known, notice.rate_limit)
        held = self.held.get(grant.grant_id)
        if (
            notice.is_leaving
            and held is not None
            and not known.has_restarted_since(held.placement.known)
        ):
            self.catalogue.server_says_leaving(known)

    def settle(self, settlement: Settlement) -> None:
        """Release what the request held and update the server's health."""
        grant = settlement.grant
        held = self.held.pop(grant.grant_id, None)
        if held is None:
            return
        now = self.kernel.clock.monotonic()
        pool = self.pool(grant.server.service)
        load = pool.servers.server_load(grant.server.server, now)
        load.in_flight -= 1
        if not held.has_first_byte:
            load.window.released(held.placement.cost)
            pool.activity.accounts.record_not_begun(held.waiting, now)
            if settlement.outcome is not Outcome.CANCELLED:
                # A request that its caller gave up used the server's time.
                pool.backlog.usage.refund(
                    grant.account, grant.charged, held.granted_at, now
                )
                if held.waiting.share_class is ShareClass.WITHIN:
                    pool.shares.give_back(grant.account)
        directory = self.catalogue.directory
        known = directory.servers.get(
            grant.server.server,
            held.placement.known,
        )
        update_server_health(settlement, known, load.health, directory, now)
        if not held.placement.known.is_cold(held.granted_at):
            self.moves.record_response(
                make_response_report(settlement, held.placement)
            )
        pool.servers.server_changed(grant.server.server)
        self.grant_waiting(grant.server.service)

    async def recheck(self) -> None:
        """Retry waiting requests regularly, since limits ease with time."""
        while True:
            await self.waits.has_waiting.wait()
            await asyncio.sleep(RECHECK_SECONDS)
            self.grant_all_waiting()
            if not any(pool.backlog.queues for pool in self.pools.values()):
                self.waits.has_waiting.clear()

    def status(self, now: float) -> AdmissionStatus:
        """Return how many requests wait."""
        waiting = sum(
            len(queue)
            for pool in self.pools.values()
            for queue in pool.backlog.queues.values()
        )
        return AdmissionStatus(policy='local', waiting=waiting)


def make_response_report(
    settlement: Settlement, placement: Placement
) -> ResponseReport:
    """Return the evidence on the server's version in a settlement."""
    grant = settlement.grant
    seconds = settlement.duration_seconds
    has_ended = settlement.outcome is not Outcome.CANCELLED
    return ResponseReport(
        service=grant.server.service,
        route=grant.route,
        version=grant.server.version,
        outcome=settlement.outcome,
        cost=settlement.cost,
        first_byte_seconds=settlement.first_byte_seconds,
        duration_seconds=seconds if has_ended else None,
        expected_seconds=placement.load.expected_seconds(placement.cost),
        load_class=placement.load.load_class,
        cancelled_after=None if has_ended else seconds,
    )


def make_grant(
    grant_id: GrantId, ticket: Ticket, placement: Placement, now: float
) -> Grant:
    """Return the grant for a placement, given at monotonic seconds."""
    entry = placement.known.entry
    validity = GRANT_VALIDITY_SECONDS
    if placement.known.is_cold(now):
        validity = COLD_GRANT_VALIDITY_SECONDS
    return Grant(
        grant_id=grant_id,
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
        expires_at=now + validity,
        charged=ticket.cost_hint,
    )
