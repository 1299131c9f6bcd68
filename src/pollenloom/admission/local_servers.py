"""Choice of a backend server by what this router sees itself."""

from collections.abc import Container
from dataclasses import dataclass, field
from typing import Final

from pollenloom.admission.local_backlog import WaitingTicket
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import ServerId
from pollenloom.core.states import Resource
from pollenloom.membership.rendezvous_ranking import weight
from pollenloom.routing.cold_gate import ColdGate
from pollenloom.routing.send_window import PREFILL_RATE, SendWindow
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.server_health import ServerHealth
from pollenloom.routing.service_load import ServiceLoad

# Chance that the first, the second and a further server in the rank of a
# prompt prefix does not keep it.
MISS_CHANCES: Final = (0.1, 0.7)
FURTHER_MISS_CHANCE: Final = 1.0
# Reading a shared part again takes engine time from all other requests, so it
# counts this many times against a shorter queue.
REREAD_WEIGHT: Final = 5.0
# A prompt whose shared part is this long waits for one of the servers that
# probably keep it, for a part of its objective.
LONG_SHARED_TOKENS: Final = 1500
KEPT_RANKS: Final = 2
FAITHFUL_SHARE: Final = 0.7
# Servers by which a service goes on when all of it looks bad.
KEPT_SHARE: Final = 0.5
# A server that answers badly is weighed as if its answers took longer.
PENALTY_SECONDS: Final = 2.0


@dataclass(slots=True)
class ServerLoad:
    """What this router has at one server, and how the server answers."""

    health: ServerHealth
    gate: ColdGate
    window: SendWindow = field(default_factory=SendWindow)
    in_flight: int = 0


@dataclass(frozen=True, slots=True)
class Conditions:
    """What holds for all servers of a service while one is chosen.

    Attributes:
        now: Monotonic seconds.
        cold_rate: What this router may send to a cold server, requests a
            second; 0 for no limit.
        elsewhere: What other routers have to do with the service.
    """

    now: float
    cold_rate: float
    elsewhere: ServiceLoad

    def unread_elsewhere(self, server: ServerId) -> float:
        """Prompt tokens that other routers have at a server."""
        return self.elsewhere.unread.get(server, 0)

    def running_elsewhere(self, server: ServerId) -> float:
        """Requests that other routers have at a server."""
        return self.elsewhere.running.get(server, 0)


@dataclass(frozen=True, slots=True)
class Placement:
    """A chosen server and the cost that its window was charged."""

    known: KnownServer
    cost: float


class LocalServers:
    """Loads of the servers that this router sends to."""

    def __init__(self) -> None:
        self.loads: dict[ServerId, ServerLoad] = {}

    def load(self, server: ServerId, now: float) -> ServerLoad:
        """Return the load of a server; a new one is empty."""
        load = self.loads.get(server)
        if load is None:
            load = ServerLoad(ServerHealth(now), ColdGate(now))
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

    def place(
        self,
        waiting: WaitingTicket,
        servers: list[KnownServer],
        conditions: Conditions,
    ) -> Placement | None:
        """Return a server with room for the request, if there is one.

        Of servers that would answer at nearly the same time, the one that
        probably keeps the prompt's prefix is taken.
        """
        now = conditions.now
        ticket = waiting.ticket
        best: Placement | None = None
        best_score = float('inf')
        ranking = self.ranked(ticket, self.sound(ticket, servers, now))
        if is_faithful(waiting, now):
            ranking = ranking[:KEPT_RANKS]
        for rank, known in enumerate(ranking):
            load = self.load(known.entry.server, now)
            cost = self.expected_cost(ticket, rank)
            if not self.may_send(ticket, load, known, conditions):
                continue
            reread = self.miss_chance(rank) * ticket.shared_tokens
            score = self.score(load, known, cost, conditions)
            score += REREAD_WEIGHT * reread / PREFILL_RATE
            if score < best_score:
                best = Placement(known, cost)
                best_score = score
        return best

    def may_send(
        self,
        ticket: Ticket,
        load: ServerLoad,
        known: KnownServer,
        conditions: Conditions,
    ) -> bool:
        """Whether a server has room and, if it is cold, bears it."""
        now = conditions.now
        rate = conditions.cold_rate
        is_cold = rate > 0 and known.is_cold(now)
        if is_cold and not load.gate.may_send(rate, now):
            return False
        server = known.entry.server
        running: float = load.in_flight
        if ticket.resource is Resource.MODEL:
            # An answer takes seconds, so that counts of others are current.
            running += conditions.running_elsewhere(server)
        is_free = running < known.entry.slots
        elsewhere = conditions.unread_elsewhere(server)
        return is_free and load.window.has_room(elsewhere)

    def sound(
        self,
        ticket: Ticket,
        servers: list[KnownServer],
        now: float,
    ) -> list[KnownServer]:
        """Leave out servers that fail, but never more than half of them."""
        allowed = [
            known
            for known in servers
            if known.entry.server not in ticket.excluded
        ]
        sound = [
            known
            for known in allowed
            if not self.is_unsound(known.entry.server, now)
        ]
        if len(sound) >= len(allowed) * KEPT_SHARE:
            return sound
        reachable = [
            known
            for known in allowed
            if not self.load(known.entry.server, now).health.is_down(now)
        ]
        return reachable or allowed

    def is_unsound(self, server: ServerId, now: float) -> bool:
        """Whether a server is unreachable or fails too often."""
        health = self.load(server, now).health
        return health.is_down(now) or health.is_bad(now)

    def ranked(
        self,
        ticket: Ticket,
        servers: list[KnownServer],
    ) -> list[KnownServer]:
        """Servers by rendezvous hash of the longest shared prefix."""
        if not ticket.prefix_hashes:
            return servers
        key = str(ticket.prefix_hashes[-1])
        return sorted(
            servers,
            key=lambda known: weight(key, known.entry.server),
        )

    def expected_cost(self, ticket: Ticket, rank: int) -> float:
        """Tokens that a server of that rank has to read."""
        if not ticket.prefix_hashes:
            return max(1, ticket.prompt_tokens)
        return (
            max(1, ticket.own_tokens)
            + self.miss_chance(rank) * ticket.shared_tokens
        )

    def miss_chance(self, rank: int) -> float:
        """Chance that a server of that rank does not keep the prefix."""
        if rank < len(MISS_CHANCES):
            return MISS_CHANCES[rank]
        return FURTHER_MISS_CHANCE

    def score(
        self,
        load: ServerLoad,
        known: KnownServer,
        cost: float,
        conditions: Conditions,
    ) -> float:
        """Expected time to the first byte in seconds; the least wins."""
        health = load.health
        health.decay(conditions.now)
        total = health.good + health.bad
        penalty = PENALTY_SECONDS * health.bad / (total + 1)
        if cost <= 1:
            return health.latency * (1 + load.in_flight) + penalty
        unread = load.window.outstanding + cost
        unread += conditions.unread_elsewhere(known.entry.server)
        return unread / PREFILL_RATE + penalty


def is_faithful(waiting: WaitingTicket, now: float) -> bool:
    """Whether a request goes only to servers that may keep its prefix."""
    ticket = waiting.ticket
    is_long = ticket.shared_tokens >= LONG_SHARED_TOKENS
    return is_long and (now - waiting.since < ticket.objective * FAITHFUL_SHARE)
