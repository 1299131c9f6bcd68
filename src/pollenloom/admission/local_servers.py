"""Choice of a backend server by what this router sees itself."""

from collections.abc import Container, Iterable
from typing import Final

from pollenloom.admission.local_backlog import WaitingTicket
from pollenloom.admission.placement import Placement
from pollenloom.admission.prefix_ranking import PrefixRanking
from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.server_candidates import (
    AvailableServer,
    ServerCandidates,
)
from pollenloom.admission.server_load import ServerLoad
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import ServerId
from pollenloom.core.states import Resource
from pollenloom.routing.send_window import PREFILL_RATE
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.server_health import ServerHealth

# Chance that the first, the second and a further server in the rank of a
# prompt prefix does not keep it.
MISS_CHANCES: Final = (0.1, 0.7, 1.0)
# Reading a shared part again takes engine time from all other requests, so it
# counts this many times against a shorter queue.
REREAD_WEIGHT: Final = 5.0
# A prompt whose shared part is this long waits for one of the servers that
# probably keep it, for a part of its objective.
LONG_SHARED_TOKENS: Final = 1500
KEPT_RANKS: Final = 2
FAITHFUL_SHARE: Final = 0.7


class LocalServers:
    """Loads of the servers that this router sends to.

    Attributes:
        is_model: Whether the servers read prompts.
    """

    def __init__(self) -> None:
        self.loads: dict[ServerId, ServerLoad] = {}
        self.ranking = PrefixRanking(())
        self.is_model = False

    def load(self, server: ServerId, now: float) -> ServerLoad:
        """Return the load of a server; a new one is empty."""
        load = self.loads.get(server)
        if load is None:
            load = ServerLoad(ServerHealth(now))
            self.loads[server] = load
        return load

    def retain(self, servers: Container[ServerId]) -> None:
        """Forget servers that are gone and have nothing of this router."""
        gone = [
            server
            for server, load in self.loads.items()
            if server not in servers and not load.in_flight
        ]
        for server in gone:
            self.loads.pop(server)

    def expect(self, ticket: Ticket) -> None:
        """Note what kind of requests the servers get."""
        self.is_model = ticket.resource is Resource.MODEL

    def survey(
        self,
        servers: list[KnownServer],
        context: SelectionContext,
    ) -> ServerCandidates:
        """Look at all servers of the service."""
        names = tuple(known.entry.server for known in servers)
        if names != self.ranking.servers:
            self.ranking = PrefixRanking(names)
        return ServerCandidates(
            servers,
            self.load,
            context,
            is_model=self.is_model,
        )

    def place(
        self,
        waiting: WaitingTicket,
        candidates: ServerCandidates,
    ) -> Placement | None:
        """Return a server with room for the request, if there is one.

        Of servers that would answer at nearly the same time, the one that
        probably keeps the prompt's prefix is taken.
        """
        ticket = waiting.ticket
        if candidates.is_hopeless(ticket.excluded):
            return None
        keepers = self.keepers(ticket, candidates)
        best: Placement | None = None
        best_score = float('inf')
        for rank, server in self.candidates(waiting, candidates, keepers):
            miss = MISS_CHANCES[rank]
            reread = REREAD_WEIGHT * miss * ticket.shared_tokens
            cost = expected_cost(ticket, miss)
            score = server.seconds + (cost + reread) / PREFILL_RATE
            if score < best_score:
                best = Placement(server.known, cost)
                best_score = score
        return best

    def keepers(
        self,
        ticket: Ticket,
        candidates: ServerCandidates,
    ) -> tuple[ServerId, ...]:
        """Servers that probably keep the longest shared prefix."""
        if not ticket.prefix_hashes:
            return ()
        return self.ranking.first(
            ticket.prefix_hashes[-1],
            KEPT_RANKS,
            candidates.sound,
            ticket.excluded,
        )

    def candidates(
        self,
        waiting: WaitingTicket,
        candidates: ServerCandidates,
        keepers: tuple[ServerId, ...],
    ) -> Iterable[tuple[int, AvailableServer]]:
        """Yield servers with room and their rank for the prefix.

        Of those that do not keep it, the soonest is enough.
        """
        excluded = waiting.ticket.excluded
        for rank, server in enumerate(keepers):
            keeper = candidates.open.get(server)
            if keeper is not None:
                yield rank, keeper
        if is_faithful(waiting, candidates.context.now):
            return
        for other in candidates.ranked_for(excluded):
            if other.known.entry.server not in keepers:
                yield KEPT_RANKS, other
                return


def expected_cost(ticket: Ticket, miss: float) -> float:
    """Tokens that a server has to read with that chance of a miss."""
    if not ticket.prefix_hashes:
        return max(1, ticket.prompt_tokens)
    return max(1, ticket.own_tokens) + miss * ticket.shared_tokens


def is_faithful(waiting: WaitingTicket, now: float) -> bool:
    """Whether a request goes only to servers that may keep its prefix."""
    ticket = waiting.ticket
    is_long = ticket.shared_tokens >= LONG_SHARED_TOKENS
    return is_long and (now - waiting.since < ticket.objective * FAITHFUL_SHARE)
