"""Allocation of one pool's slots by its owner."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from pollenloom.admission.cost_estimator import CostEstimator
from pollenloom.admission.fair_queue import (
    FairQueue,
    PendingRequest,
    RouterBacklog,
)
from pollenloom.admission.grant_ledger import GrantLedger, OpenGrant
from pollenloom.admission.messages import (
    AccountDemand,
    Demand,
    GrantedSlot,
    ReportedGrant,
    SettledGrant,
    TakeoverReport,
    WaitingHead,
)
from pollenloom.admission.pool_servers import PoolServers
from pollenloom.admission.router_stream import RouterStream, SentGrant
from pollenloom.admission.router_streams import RouterStreams
from pollenloom.admission.server_choice import ServerChoice
from pollenloom.admission.server_ramp import ServerResponse
from pollenloom.admission.server_state import ServerState
from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.admission.version_credit import VersionCredit
from pollenloom.admission.version_shares import VersionShares
from pollenloom.core.ids import (
    AccountId,
    GrantId,
    PoolId,
    ServiceId,
    VmId,
)
from pollenloom.core.states import Outcome

# Interval at which the owner asks a router about each open grant.
CHECK_INTERVAL_SECONDS = 10.0
# After a router could not use a server, the owner gives it no grants there for
# this time, in which a new configuration reaches the router.
AVOID_SERVER_SECONDS = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class AllocatorOptions:
    """Switches of one pool owner; switched off only to compare policies.

    Attributes:
        fair: Order accounts by virtual time instead of time of waiting.
        ramp: Raise the limit of a cold server step by step.
        affinity: Prefer servers that have the prompt prefix cached.
    """

    fair: bool = True
    ramp: bool = True
    affinity: bool = True


@dataclass(frozen=True, slots=True)
class Allocation:
    """A grant and the router that gets it."""

    router: VmId
    slot: GrantedSlot


class PoolAllocator:
    """Grants the slots of one pool's servers to waiting requests.

    Counts the requests in flight on each server over the whole fleet, and
    gives each free slot to the account with the smallest virtual time.
    """

    def __init__(
        self,
        pool: PoolId,
        service: ServiceId,
        totals: ServiceTotals,
        shares: VersionShares,
        options: AllocatorOptions,
        grant_prefix: str,
    ) -> None:
        self.pool = pool
        self.service = service
        self.grant_prefix = grant_prefix
        self.options = options
        self.totals = totals
        self.epoch = 1
        self.queue = FairQueue(totals, fair=options.fair)
        self.estimator = CostEstimator()
        self.ledger = GrantLedger()
        self.credit = VersionCredit(service, shares)
        self.choice = ServerChoice(self.credit, affinity=options.affinity)
        self.servers = PoolServers(ramp=options.ramp)
        self.streams = RouterStreams()
        self.grant_count = 0

    def apply_demand(self, router: VmId, demand: Demand, now: float) -> None:
        """Apply the demand and the settlements of a router."""
        stream = self.current_stream(router, demand.stream, now)
        if demand.missed or demand.sequence > stream.received + 1:
            self.ledger.schedule_router_checks(router, now)
        is_new = stream.receive(demand.sequence, now)
        for settled in demand.settled:
            self.settle(settled, now, stream)
        if not is_new:
            return
        stream.confirm(demand.acknowledged)
        for account in demand.accounts:
            entry = to_backlog(account, stream, now)
            self.queue.replace(account.account, router, entry)

    def current_stream(
        self, router: VmId, stream: int, now: float
    ) -> RouterStream:
        """Return the message stream of a router.

        A new stream id means that the router restarted: the demand and the
        grants of its earlier run are removed.
        """
        known = self.streams.get(router)
        if known is not None and known.stream == stream:
            return known
        if known is not None:
            self.reset_router(router, now)
        return self.streams.start(router, stream)

    def settle(
        self,
        settled: SettledGrant,
        now: float,
        stream: RouterStream | None = None,
    ) -> None:
        """Free the slot, correct the charge and record the outcome.

        A repeated settlement has no effect.
        """
        known_before = self.ledger.contains(settled.grant_id)
        grant = self.ledger.close(settled.grant_id, now)
        if grant is None and known_before:
            return
        if grant is None:
            # An earlier owner gave it and charged the estimate, and it ended
            # before this owner's takeover.
            correction = settled.cost - settled.charged
            self.totals.charge(self.pool, settled.account, correction)
            return
        correction = settled.cost - grant.charged
        self.totals.charge(self.pool, grant.account, correction)
        self.servers.release(grant)
        if settled.server_fenced:
            # The server did not run the request, so that the outcome says
            # nothing about its load.
            self.servers.record_fenced(grant)
        else:
            self.record_outcome(grant, settled, now)
        if settled.unusable and stream is not None:
            stream.avoided_until[grant.server] = now + AVOID_SERVER_SECONDS

    def record_outcome(
        self,
        grant: OpenGrant,
        settled: SettledGrant,
        now: float,
    ) -> None:
        """Update the server's limit and the account's cost estimate.

        Also reports the outcome to the version shares, which evaluate it for
        the server's version.
        """
        state = self.servers.get(grant.server)
        if state is not None:
            response = ServerResponse(
                outcome=settled.outcome,
                granted_at=grant.granted_at,
                first_byte_seconds=settled.first_byte_seconds,
                server_cold=settled.server_cold,
                server_leaving=settled.server_leaving,
            )
            state.ramp.record(response, now)
            self.credit.shares.record_outcome(
                self.service,
                state.server.version,
                settled,
            )
        if settled.outcome is Outcome.SERVED and settled.cost > 0:
            self.estimator.learn(grant.account, settled.hint, settled.cost)

    def allocate(self, now: float) -> list[Allocation]:
        """Give free slots to waiting requests until either runs out."""
        allocations: list[Allocation] = []
        if not self.queue.backlog:
            return allocations
        free = self.servers.free_slots(now)
        while free > 0:
            allocation = self.allocate_one(now)
            if allocation is None:
                break
            allocations.append(allocation)
            free -= 1
        return allocations

    def allocate_one(self, now: float) -> Allocation | None:
        """Give one free slot to the first request that can use one.

        Returns None if no waiting request can use any.
        """
        for account in self.queue.accounts():
            for router in self.queue.routers(account):
                pending = self.queue.peek(account, router)
                state = self.choose(router, pending, now)
                if state is not None:
                    self.queue.pop(account, router)
                    return self.grant(router, account, pending, state, now)
        return None

    def choose(
        self,
        router: VmId,
        pending: PendingRequest,
        now: float,
    ) -> ServerState | None:
        """Return a server for a request, or None if none is free.

        Leaves out servers that the router could not use lately, and those
        that refused this owner's fencing number or a higher one.
        """
        avoided_until = self.streams[router].avoided_until
        usable = [
            state
            for state in self.servers
            if avoided_until.get(state.server.server, now) <= now
            and state.refused_epoch < self.epoch
        ]
        return self.choice.choose(usable, pending, now)

    def grant(
        self,
        router: VmId,
        account: AccountId,
        pending: PendingRequest,
        state: ServerState,
        now: float,
    ) -> Allocation:
        """Create a grant and charge its estimated cost."""
        charged = self.estimator.estimate(account, pending.hint)
        self.grant_count += 1
        server = state.server.server
        grant_id = GrantId(f'{self.grant_prefix}.{self.grant_count}')
        slot = GrantedSlot(grant_id, account, server, charged)
        self.totals.charge(self.pool, account, charged)
        self.add_grant(router, slot, now, hint=pending.hint)
        state.prefix_predictor.predict(pending.prefixes, now)
        self.credit.record_grant(
            state.server.version, self.servers.versions(), now
        )
        stream = self.streams[router]
        stream.in_transit.append(
            SentGrant(grant_id, stream.sent + 1, account, now)
        )
        return Allocation(router, slot)

    def add_grant(
        self,
        router: VmId,
        slot: GrantedSlot | ReportedGrant,
        now: float,
        hint: float,
    ) -> None:
        """Record a grant as in flight."""
        grant = OpenGrant(
            grant_id=slot.grant_id,
            router=router,
            account=slot.account,
            server=slot.server,
            charged=slot.charged,
            granted_at=now,
            check_at=now + CHECK_INTERVAL_SECONDS,
            hint=hint,
            epoch=self.epoch if isinstance(slot, GrantedSlot) else 0,
        )
        self.ledger.add(grant)
        self.servers.add_grant(slot.server)

    def apply_report(
        self, router: VmId, report: TakeoverReport, now: float
    ) -> None:
        """Record the grants that a router holds from earlier owners."""
        self.epoch = max(self.epoch, report.epoch + 1)
        self.current_stream(router, report.stream, now)
        for held in report.held:
            is_counted = self.ledger.contains(held.grant_id)
            if not is_counted and held.server in self.servers.servers:
                self.add_grant(router, held, now, hint=0)
        self.servers.restore_ramps(router)
        self.servers.stop_awaiting(router)

    def await_reports(
        self, routers: Iterable[VmId], epoch: int, now: float
    ) -> None:
        """Give no grants until all routers have reported theirs.

        Needed after this owner was paused or replaced, when its records may
        be outdated. The wait ends at the takeover timeout.
        """
        self.epoch = max(self.epoch, epoch)
        self.servers.await_all_reports(routers, now)
        self.ledger.schedule_all_checks(now)

    def remove_router(self, router: VmId, now: float) -> None:
        """Free the slots of a lost router; estimated charges remain."""
        self.servers.stop_awaiting(router)
        self.reset_router(router, now)

    def reset_router(self, router: VmId, now: float) -> None:
        """Remove the stream, the demand and the grants of a router."""
        self.streams.end(router)
        self.queue.remove_router(router)
        for grant in self.ledger.held_by(router):
            self.ledger.close(grant.grant_id, now)
            self.servers.release(grant)

    def known_routers(self) -> set[VmId]:
        """Routers that report demand, hold grants or have yet to report."""
        holders = {grant.router for grant in self.ledger.open.values()}
        return holders | self.servers.awaited_routers() | self.streams.routers()

    def sweep(self, now: float) -> None:
        """Free grants that were never settled; schedule checks of lost ones."""
        for grant in self.ledger.expired(now):
            self.ledger.close(grant.grant_id, now)
            self.servers.release(grant)
        self.ledger.prune_closed(now)
        for grant_id in self.streams.remove_lost(now):
            self.ledger.schedule_check(grant_id, now)


def to_backlog(
    demand: AccountDemand,
    stream: RouterStream,
    now: float,
) -> RouterBacklog:
    """Convert an account's demand, less the grants in transit."""
    in_transit = stream.in_transit_count(demand.account)
    heads = deque(to_pending(head, now) for head in demand.heads[in_transit:])
    return RouterBacklog(demand.waiting - in_transit, heads)


def to_pending(head: WaitingHead, now: float) -> PendingRequest:
    """Convert the age of a waiting request to the owner's time."""
    return PendingRequest(
        waiting_since=now - head.age,
        hint=head.hint,
        retry=head.retry,
        prefixes=head.prefixes,
        excluded=frozenset(head.excluded),
    )
