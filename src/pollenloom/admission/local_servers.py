"""Choice of a backend server by one router."""

from collections.abc import Container, Iterable
from random import Random
from typing import Final

from pollenloom.admission.learned_speeds import LearnedSpeeds
from pollenloom.admission.placement import Placement
from pollenloom.admission.prefix_ranking import PrefixRanking
from pollenloom.admission.sampled_candidates import SampledCandidates
from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.server_candidates import (
    AvailableServer,
    ServerCandidates,
)
from pollenloom.admission.server_load import ServerLoad
from pollenloom.admission.server_speeds import FixedSpeeds, ServerSpeeds
from pollenloom.admission.ticket import Ticket
from pollenloom.admission.waiting_ticket import (
    LONG_PREFIX_TOKENS,
    WaitingTicket,
)
from pollenloom.core.ids import DataCentreId, ServerId, VmId
from pollenloom.core.states import Resource
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.server_health import ServerHealth
from pollenloom.settings.node_settings import SchedulingSettings

# Probability that the first, the second and any further server in the ranking
# of a prompt prefix does not have it cached.
MISS_PROBABILITIES: Final = (0.1, 0.7, 1.0)
# Reading a shared prefix again takes engine time from all other requests, so it
# weighs this many times its own duration against a shorter queue.
REPEATED_PREFILL_WEIGHT: Final = 5.0
PREFERRED_RANKS: Final = 2
# A server in another data centre has to save so much time. A twentieth of an
# objective of 0.3 s is more than the way there and back, and less than what a
# caller notices.
SPILL_GAIN_SECONDS: Final = 0.015
# An evaluation of all servers is used for so long, with changes by this router
# applied at once. Reports of other routers come every 0.1 s. With hundreds of
# servers, an evaluation for each request would take most of the time of a
# router.
EVALUATION_SECONDS: Final = 0.02
# Which servers are healthy is looked at again after this time, or after a
# failure, if requests look at few servers each.
HEALTH_SECONDS: Final = 0.1


class LocalServers:
    """Loads of the backend servers that this router sends to.

    Attributes:
        loads: Load of each server that was looked up.
        ranking: Preferred servers of prompt prefixes.
        is_model: Whether the servers are model engines, which read prompts.
        candidates: Latest evaluation of the servers; None before the first.
        speeds: Speeds of the servers.
        draws: Random choices, which differ between routers; None to choose
            among all servers alike.
        own_data_centre: Data centre whose servers are preferred; None if none
            is.
        known_servers: Servers of the latest evaluation.
        health_checked_at: When it was last looked at which servers are
            healthy, monotonic seconds.
    """

    def __init__(
        self,
        speeds: ServerSpeeds | None = None,
        draws: Random | None = None,
        own_data_centre: DataCentreId | None = None,
    ) -> None:
        self.speeds = speeds or FixedSpeeds()
        self.draws = draws
        self.own_data_centre = own_data_centre
        self.known_servers: list[KnownServer] = []
        self.health_checked_at = float('-inf')
        self.loads: dict[ServerId, ServerLoad] = {}
        self.ranking = PrefixRanking(())
        self.is_model = False
        self.candidates: ServerCandidates | None = None

    @classmethod
    def from_config(
        cls,
        scheduling: SchedulingSettings,
        vm: VmId,
        data_centre: DataCentreId,
    ) -> 'LocalServers':
        """Return an empty record for the decisions that are switched on."""
        learns = scheduling.learns_costs
        prefers_own = scheduling.prefers_own_data_centre
        return cls(
            LearnedSpeeds() if learns else FixedSpeeds(),
            Random(vm) if learns or prefers_own else None,
            data_centre if prefers_own else None,
        )

    def server_load(self, server: ServerId, now: float) -> ServerLoad:
        """Return the load of a server; create an empty one if needed."""
        load = self.loads.get(server)
        if load is None:
            load = ServerLoad(ServerHealth(now))
            self.loads[server] = load
        return load

    def mean_window(self) -> float:
        """Return the mean limit of the send windows, in tokens."""
        limits = [load.window.limit for load in self.loads.values()]
        return sum(limits) / max(1, len(limits))

    def scale_windows(self, factor: float) -> None:
        """Multiply the limits of all send windows by a factor."""
        for load in self.loads.values():
            load.window.scale(factor)

    def retain(self, servers: Container[ServerId]) -> None:
        """Drop removed servers with no request of this router in flight."""
        removed = [
            server
            for server, load in self.loads.items()
            if server not in servers and not load.in_flight
        ]
        self.speeds.retain(servers)
        for server in removed:
            self.loads.pop(server)

    def record_resource(self, ticket: Ticket) -> None:
        """Record whether the service's servers are model engines."""
        self.is_model = ticket.resource is Resource.MODEL

    def is_evaluated(self, now: float) -> bool:
        """Whether the evaluation of the servers is recent enough."""
        evaluated = self.candidates
        return evaluated is not None and (
            now - evaluated.evaluated_at < EVALUATION_SECONDS
        )

    def server_changed(self, server: ServerId) -> None:
        """Evaluate one server again, after its load on this router changed."""
        if self.candidates is None:
            return
        if self.loads[server].health.failures:
            self.health_checked_at = float('-inf')
        known = self.candidates.healthy.get(server)
        if known is not None:
            self.candidates.refresh(known)

    def evaluate(
        self,
        servers: list[KnownServer],
        context: SelectionContext,
    ) -> None:
        """Evaluate all servers of the service at this moment."""
        self.speeds.learn(context.remote_load, context.now)
        if self.renew(servers, context):
            return
        self.known_servers = servers
        self.health_checked_at = context.now
        names = tuple(known.entry.server for known in servers)
        if names != self.ranking.servers:
            self.ranking = PrefixRanking(names)
        if self.draws is None:
            self.candidates = ServerCandidates(
                servers,
                self.server_load,
                context,
                self.speeds,
                is_model=self.is_model,
            )
            return
        self.candidates = SampledCandidates(
            servers,
            self.server_load,
            context,
            self.speeds,
            self.draws,
            is_model=self.is_model,
            own_data_centre=self.own_data_centre,
        )

    def renew(
        self, servers: list[KnownServer], context: SelectionContext
    ) -> bool:
        """Use the latest evaluation with newer loads, if that is enough."""
        candidates = self.candidates
        if not isinstance(candidates, SampledCandidates):
            return False
        is_recent = context.now - self.health_checked_at < HEALTH_SECONDS
        return (
            is_recent
            and servers == self.known_servers
            and candidates.renew(context)
        )

    def place(
        self,
        waiting: WaitingTicket,
        candidates: ServerCandidates,
    ) -> Placement | None:
        """Return a server with room for the request, if there is one.

        A request beyond the share of its account only gets idle room.

        Chooses the lowest sum of the expected delay and the expected time to
        read the prompt, in which a repeated read of the shared prefix has
        extra weight.
        """
        ticket = waiting.ticket
        if candidates.is_exhausted(ticket.excluded):
            return None
        trial_server = candidates.trial_server(ticket.excluded)
        if trial_server is not None:
            miss_probability = max(MISS_PROBABILITIES)
            cost = expected_cost(ticket, miss_probability)
            return Placement(trial_server.known, cost, trial_server.load)
        preferred_servers = self.preferred_servers(ticket, candidates)
        needs_idle_room = waiting.needs_idle_room
        best: Placement | None = None
        best_score = float('inf')
        for rank, server in self.eligible_servers(
            waiting, candidates, preferred_servers
        ):
            if needs_idle_room and not server.has_spare_room:
                continue
            miss_probability = MISS_PROBABILITIES[rank]
            repeated_prefill = (
                REPEATED_PREFILL_WEIGHT
                * miss_probability
                * ticket.shared_tokens
            )
            cost = expected_cost(ticket, miss_probability)
            score = self.spill_score(server) + self.speeds.prefill_seconds(
                server.known.entry.server, cost + repeated_prefill
            )
            if score < best_score:
                best = Placement(
                    server.known,
                    cost,
                    server.load,
                    is_preferred=rank < PREFERRED_RANKS,
                    is_elsewhere=server.is_elsewhere,
                )
                best_score = score
        return best

    def spill_score(self, server: AvailableServer) -> float:
        """Return a server's delay and the gain that another place must give."""
        if server.is_elsewhere:
            return server.delay_seconds + SPILL_GAIN_SECONDS
        return server.delay_seconds

    def preferred_servers(
        self,
        ticket: Ticket,
        candidates: ServerCandidates,
    ) -> tuple[ServerId, ...]:
        """Return the servers that probably cache the longest prefix."""
        if not ticket.prefix_hashes:
            return ()
        allowed: Container[ServerId] = candidates.healthy
        if ticket.shared_tokens >= LONG_PREFIX_TOKENS:
            # The prompts that come with long prefixes are long as well, and
            # hold up all others on a slow server.
            allowed = candidates.healthy_fast or allowed
        return self.ranking.first(
            ticket.prefix_hashes[-1],
            PREFERRED_RANKS,
            allowed,
            ticket.excluded,
        )

    def eligible_servers(
        self,
        waiting: WaitingTicket,
        candidates: ServerCandidates,
        preferred_servers: tuple[ServerId, ...],
    ) -> Iterable[tuple[int, AvailableServer]]:
        """Yield servers with room and their rank for the prefix.

        Of the servers that are not preferred, the one with the least
        expected delay is enough, or some that are chosen at random.
        """
        excluded = waiting.ticket.excluded
        for rank, server in enumerate(preferred_servers):
            available = candidates.find_available(server)
            if available is not None:
                yield rank, available
        is_limited = any(map(candidates.is_limited, preferred_servers))
        if not is_limited and waiting.is_sticky(candidates.context.now):
            return
        if isinstance(candidates, SampledCandidates):
            for other in candidates.sample(excluded):
                if other.known.entry.server not in preferred_servers:
                    yield PREFERRED_RANKS, other
            return
        for other in candidates.ranked_for(excluded):
            if other.known.entry.server not in preferred_servers:
                yield PREFERRED_RANKS, other
                return


def expected_cost(ticket: Ticket, miss_probability: float) -> float:
    """Expected tokens to read, given the probability of a cache miss."""
    if not ticket.prefix_hashes:
        return max(1, ticket.prompt_tokens)
    return (
        max(1, ticket.unshared_tokens) + miss_probability * ticket.shared_tokens
    )
