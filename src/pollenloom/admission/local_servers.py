"""Choice of a backend server by what this router sees itself."""

from dataclasses import dataclass, field
from typing import Final

from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import ServerId
from pollenloom.membership.rendezvous_ranking import weight
from pollenloom.routing.cold_gate import ColdGate
from pollenloom.routing.send_window import SendWindow
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.server_health import ServerHealth

# Rate at which an engine reads prompts, tokens a second; only the order of
# magnitude matters, to weigh a prompt that must be read against a queue.
PREFILL_RATE: Final = 100_000.0
# Chance that the first, the second and a further server in the rank of a
# prompt prefix does not keep it.
MISS_CHANCES: Final = (0.15, 0.6)
FURTHER_MISS_CHANCE: Final = 1.0
# A queue that shows in the latency moves requests away from the server that
# keeps their prefix only if it is long; else all prompts are read everywhere.
LATENCY_WEIGHT: Final = 0.2
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

    def forget(self, server: ServerId) -> None:
        """Forget a server that is gone."""
        self.loads.pop(server, None)

    def place(
        self,
        ticket: Ticket,
        servers: list[KnownServer],
        cold_rate: float,
        now: float,
    ) -> Placement | None:
        """Return a server with room for the request, if there is one.

        `cold_rate` is what this router may send to a cold server, requests a
        second; 0 for no limit.
        """
        sound = self.sound(ticket, servers, now)
        ranking = self.ranked(ticket, sound)
        best: Placement | None = None
        best_score = float('inf')
        for rank, known in enumerate(ranking):
            load = self.load(known.entry.server, now)
            cost = self.expected_cost(ticket, rank)
            is_cold = known.is_cold(now) and cold_rate > 0
            if is_cold and not load.gate.may_send(cold_rate, now):
                continue
            if not self.has_room(load, known, cost):
                continue
            score = self.score(load, cost, now, is_bulk=cost > 1)
            if score < best_score:
                best = Placement(known, cost)
                best_score = score
        return best

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
        chance = (
            MISS_CHANCES[rank]
            if rank < len(MISS_CHANCES)
            else FURTHER_MISS_CHANCE
        )
        own = max(1, ticket.prompt_tokens - ticket.shared_tokens)
        return own + chance * ticket.shared_tokens

    def has_room(
        self,
        load: ServerLoad,
        known: KnownServer,
        cost: float,
    ) -> bool:
        """Whether the server's slots and window take one more request."""
        return load.in_flight < known.entry.slots and load.window.has_room(cost)

    def score(
        self,
        load: ServerLoad,
        cost: float,
        now: float,
        *,
        is_bulk: bool,
    ) -> float:
        """Expected time to the first byte in seconds; the least wins."""
        health = load.health
        health.decay(now)
        total = health.good + health.bad
        penalty = PENALTY_SECONDS * health.bad / (total + 1)
        if is_bulk:
            work = (load.window.outstanding + cost) / PREFILL_RATE
            return LATENCY_WEIGHT * health.latency + work + penalty
        return (health.latency + PREFILL_RATE**-1) * (1 + load.in_flight) + (
            penalty
        )
