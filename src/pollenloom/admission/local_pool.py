"""Admission to the servers of one service, decided on this router."""

from collections.abc import Iterator, Mapping
from typing import Final

from pollenloom.admission.account_shares import AccountShares
from pollenloom.admission.local_backlog import LocalBacklog
from pollenloom.admission.local_servers import LocalServers
from pollenloom.admission.placement import Placement
from pollenloom.admission.pool_activity import PoolActivity
from pollenloom.admission.pool_waiting import PoolWaiting
from pollenloom.admission.refusal_cause import RefusalCause
from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.send_rate import SendRate
from pollenloom.admission.server_candidates import ServerCandidates
from pollenloom.admission.share_class import ShareClass
from pollenloom.admission.ticket import Ticket
from pollenloom.admission.version_credit import VersionCredit
from pollenloom.admission.waiting_order import ArrivalOrder, ObjectiveOrder
from pollenloom.admission.waiting_ticket import WaitingTicket
from pollenloom.admission.window_alignment import WindowAlignment
from pollenloom.core.ids import DataCentreId, ResponseClass, VersionId, VmId
from pollenloom.routing.account_usage import rounded_cost
from pollenloom.routing.decaying_count import DecayingCount
from pollenloom.routing.send_window import (
    PREFILL_TOKENS_PER_SECOND,
    QUEUE_SHARE,
)
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.service_load import ServiceLoad
from pollenloom.settings.node_settings import SchedulingSettings

# Of a router that does not know where it runs.
NO_DATA_CENTRE: Final = DataCentreId('')
# Objective of routes that state none.
DEFAULT_OBJECTIVE_SECONDS: Final = 2.0
# Share of the objective reserved for the network and for late load reports.
OBJECTIVE_RESERVE_SHARE: Final = 0.1
# Prompts that take more than this share of the objective to read get the same
# queueing time as prompts that take just this share, so that prompt sizes are
# treated alike.
MAX_PREFILL_SHARE: Final = 0.4


class LocalPool:
    """Backlog and servers of one service.

    Attributes:
        credit: Requests that versions with a limited share may get.
        sends: Rate at which this router sends.
        waits: Decides how requests wait and are turned away.
        shares: Decides which requests are within the shares of their accounts.
        demand: Requests within the shares of their accounts that came in
            lately.
        answers: Answers that began lately.
        alignment: Keeps the send windows near those of the other routers.
        tightest_objective: Shortest objective of any request so far, in
            seconds.
        activity: What was decided since it was last recorded.
        versions: Versions of the usable servers.
        remote_load: Latest load of the other routers.
    """

    def __init__(
        self,
        credit: VersionCredit,
        vm: VmId,
        scheduling: SchedulingSettings,
        data_centre: DataCentreId = NO_DATA_CENTRE,
    ) -> None:
        self.credit = credit
        is_ordered = scheduling.serves_late or scheduling.spreads_returns
        self.backlog = LocalBacklog(
            order=ObjectiveOrder() if is_ordered else ArrivalOrder()
        )
        self.shares = AccountShares(
            vm, self.backlog.usage, self.backlog.refused
        )
        self.servers = LocalServers.from_config(scheduling, vm, data_centre)
        self.activity = PoolActivity()
        self.sends = SendRate()
        self.waits = PoolWaiting.from_config(
            scheduling, self.backlog, self.shares, self.sends
        )
        self.demand = DecayingCount()
        self.answers = DecayingCount()
        self.alignment = WindowAlignment(
            credit.service, self.servers, self.answers
        )
        self.versions: set[VersionId] = set()
        self.remote_load = ServiceLoad()
        self.tightest_objective = float('inf')

    def put(self, waiting: WaitingTicket) -> None:
        """Add a request to the backlog."""
        objective = waiting.ticket.objective
        if objective:
            self.tightest_objective = min(self.tightest_objective, objective)
        if waiting.share_class is ShareClass.WITHIN:
            self.demand.add(waiting.since)
        self.servers.record_resource(waiting.ticket)
        self.backlog.put(waiting)

    def evaluate(
        self, servers: list[KnownServer], context: SelectionContext
    ) -> None:
        """Evaluate all servers, for the requests of the next moments."""
        self.apply_remote_load(context.remote_load)
        self.versions = {known.entry.version for known in servers}
        self.servers.evaluate(servers, context)

    def send(self, now: float) -> Iterator[tuple[WaitingTicket, Placement]]:
        """Yield the requests that may be sent now, each with its server.

        The servers are those of the latest evaluation. Each request is removed
        from the backlog and counted as sent.
        """
        candidates = self.servers.candidates
        if candidates is None:
            return
        candidates.context = candidates.context.at(now)
        self.backlog.usage.decay(now)
        while self.backlog.queues:
            found = self.next_placement(candidates)
            if found is None:
                return
            self.record_sent(*found, candidates.context)
            candidates.refresh(found[1].known)
            yield found

    def apply_remote_load(self, load: ServiceLoad) -> None:
        """Use the load of other routers."""
        self.remote_load = load
        self.backlog.usage.remote = load.usage
        self.backlog.refused.remote = load.refused

    def update_shares(self, servers: list[KnownServer], now: float) -> None:
        """Divide the capacity anew, from the latest load of other routers.

        Args:
            servers: Usable servers without a limit of their own.
            now: Monotonic seconds.
        """
        self.alignment.align(self.remote_load, now)
        self.shares.update(
            self.remote_begun(), self.taken_room(servers, now), now
        )

    def taken_room(self, servers: list[KnownServer], now: float) -> float:
        """Return the part of the servers' room that is taken; 1 without any.

        Room are slots, and the unread tokens that the mean window of the fleet
        allows. All routers know the same sums and get about the same result.
        """
        running: float = 0
        unread: float = 0
        slots = 0
        for known in servers:
            server = known.entry.server
            load = self.servers.server_load(server, now)
            running += load.in_flight + self.remote_load.running.get(server, 0)
            unread += load.window.outstanding
            unread += self.remote_load.unread.get(server, 0)
            slots += known.entry.slots
        if not slots:
            return 1
        window = self.alignment.fleet_window(self.remote_load, now)
        return max(running / slots, unread / (window * len(servers)))

    def remote_begun(self) -> float:
        """Return the recent cost that began on the other routers."""
        return self.remote_load.begun.get(self.credit.service, 0)

    def begun(self, now: float) -> float:
        """Return the recent cost that began over the fleet."""
        return self.shares.begun.at(now) + self.remote_begun()

    def next_placement(
        self,
        candidates: ServerCandidates,
    ) -> tuple[WaitingTicket, Placement] | None:
        """Return the next request that may be sent, with its server.

        None if no request has a server with room.
        """
        for waiting in self.backlog.heads(candidates.context.now):
            if waiting.is_behind and not self.shares.has_late_room:
                continue
            placement = self.servers.place(waiting, candidates)
            if placement is not None:
                return waiting, placement
            if waiting.share_class is not ShareClass.WITHIN:
                self.activity.held_back += 1
        self.activity.without_room += 1
        return None

    def record_sent(
        self,
        waiting: WaitingTicket,
        placement: Placement,
        context: SelectionContext,
    ) -> None:
        """Count a request that is sent."""
        now = context.now
        self.activity.record_placement(placement)
        self.activity.accounts.record_sent(waiting.ticket)
        self.backlog.remove(waiting)
        self.backlog.usage.charge(
            waiting.ticket.account,
            waiting.ticket.cost_hint,
            now,
        )
        load = self.servers.server_load(placement.known.entry.server, now)
        load.in_flight += 1
        load.window.sent(placement.cost)
        version = placement.known.entry.version
        self.credit.record_grant(version, self.versions, now)
        if context.rate_quota(placement.known) is not None:
            load.rate_bucket.mark_sent()
        turn = context.cold_turn(placement.known.entry.server)
        if turn is not None and placement.known.is_cold(now):
            load.limiter.mark_used(turn, now)
        self.sends.add(waiting.ticket.cost_hint, now, is_late=waiting.is_behind)
        if waiting.is_behind:
            self.waits.activity.sent_late += 1

    def max_wait(self, ticket: Ticket) -> float:
        """Longest wait here, in seconds, that still meets the objective."""
        objective = ticket.objective or DEFAULT_OBJECTIVE_SECONDS
        prefill_seconds = min(
            objective * MAX_PREFILL_SHARE,
            ticket.unshared_tokens / PREFILL_TOKENS_PER_SECOND,
        )
        queue_seconds = min(objective, self.tightest_objective) * QUEUE_SHARE
        return max(
            0,
            objective * (1 - OBJECTIVE_RESERVE_SHARE)
            - queue_seconds
            - prefill_seconds,
        )

    def record_refusal(
        self, waiting: WaitingTicket, cause: RefusalCause, now: float
    ) -> None:
        """Count a request that is refused for lack of capacity."""
        self.waits.record_refusal(waiting, now)
        self.activity.accounts.record_refused(waiting.ticket, cause)
        if cause is RefusalCause.BEYOND_SHARE:
            self.activity.beyond_share += 1
        elif now > waiting.since:
            self.activity.timed_out += 1
        else:
            self.activity.refused += 1

    def service_load(
        self, now: float, responses: Mapping[ResponseClass, float]
    ) -> ServiceLoad:
        """Return the load of this service that is reported to others.

        Args:
            now: Monotonic seconds.
            responses: Responses in a version move, by class.
        """
        times = self.servers.speeds.recent_times(now)
        return ServiceLoad(
            unread={
                server: round(load.window.outstanding)
                for server, load in self.servers.loads.items()
                if load.window.outstanding
            },
            running={
                server: load.in_flight
                for server, load in self.servers.loads.items()
                if load.in_flight
            },
            usage=self.backlog.usage.largest_usages(now),
            refused=self.backlog.refused.largest_usages(now),
            responses=responses,
            demand={self.credit.service: round(self.demand.at(now), 1)},
            begun={
                self.credit.service: rounded_cost(self.shares.begun.at(now))
            },
            answers={self.credit.service: round(self.answers.at(now), 1)},
            windows={self.credit.service: self.alignment.weighted_window(now)},
            window_weights={self.credit.service: self.alignment.weight(now)},
            usual_times=times.usual,
            taken_times=times.taken,
        )
