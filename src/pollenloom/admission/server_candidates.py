"""Which servers of a service have room, looked at once for many requests."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.server_load import ServerLoad
from pollenloom.core.ids import ServerId
from pollenloom.routing.send_window import PREFILL_RATE
from pollenloom.routing.server_directory import KnownServer

# Servers by which a service goes on when all of it looks bad.
KEPT_SHARE: Final = 0.5
# A server that answers badly is weighed as if its answers took longer.
PENALTY_SECONDS: Final = 2.0

LoadOf = Callable[[ServerId, float], ServerLoad]


@dataclass(frozen=True, slots=True)
class AvailableServer:
    """A server with room, and when it would begin with a prompt."""

    known: KnownServer
    seconds: float


class ServerCandidates:
    """Servers of a service at one moment.

    Looking at each server for each waiting request took most of a small
    machine's processor when much was waiting.

    Attributes:
        sound: Servers that answer well, or those that can be reached if too
            few of them do.
        reachable: Servers that were not lost just now.
        ranked: Servers of `sound` with room, the soonest first.
    """

    def __init__(
        self,
        servers: list[KnownServer],
        load_of: LoadOf,
        context: SelectionContext,
        *,
        is_model: bool,
    ) -> None:
        self.load_of = load_of
        self.context = context
        self.is_model = is_model
        now = context.now
        self.reachable = {
            known.entry.server: known
            for known in servers
            if not load_of(known.entry.server, now).health.is_down(now)
        }
        self.sound = {
            server: known
            for server, known in self.reachable.items()
            if not load_of(server, now).is_unsound(now)
        }
        if len(self.sound) < len(servers) * KEPT_SHARE:
            everything = {known.entry.server: known for known in servers}
            self.sound = self.reachable or everything
        self.open: dict[ServerId, AvailableServer] = {}
        for known in self.sound.values():
            self.look(known)
        self.rank()

    def look(self, known: KnownServer) -> None:
        """Note whether a sound server has room."""
        server = known.entry.server
        found = self.with_room(known)
        if found is None:
            self.open.pop(server, None)
        else:
            self.open[server] = found

    def look_again(self, known: KnownServer) -> None:
        """Look at a server to which a request was sent."""
        if known.entry.server in self.sound:
            self.look(known)
            self.rank()

    def with_room(self, known: KnownServer) -> AvailableServer | None:
        """Return a server with when it would begin, if it has room."""
        server = known.entry.server
        load = self.load_of(server, self.context.now)
        if not self.may_send(load, known):
            return None
        return AvailableServer(known, self.seconds(load, server))

    def rank(self) -> None:
        """Sort the sound servers with room."""
        self.ranked = sorted(self.open.values(), key=soonest)

    def is_hopeless(self, excluded: Collection[ServerId]) -> bool:
        """Whether nothing has room for a request, told without a look."""
        return not self.open and not excluded

    def ranked_for(
        self, excluded: Collection[ServerId]
    ) -> list[AvailableServer]:
        """Return servers with room for a request, the soonest first.

        A request that all sound servers have failed goes to another one.
        """
        if excluded and not self.sound.keys() - excluded:
            found = map(self.with_room, self.reachable.values())
            ranked = sorted(filter(None, found), key=soonest)
        else:
            ranked = self.ranked
        return [
            server
            for server in ranked
            if server.known.entry.server not in excluded
        ]

    def may_send(self, load: ServerLoad, known: KnownServer) -> bool:
        """Whether a server has room and, if it is cold, bears it."""
        context = self.context
        server = known.entry.server
        turn = context.cold_turn
        is_cold = known.is_cold(context.now)
        if turn is not None and is_cold and not load.limiter.may_send(turn):
            return False
        running: float = load.in_flight
        if self.is_model:
            # An answer takes seconds, so that counts of others are current.
            running += context.running_elsewhere(server)
        is_free = running < known.entry.slots
        unread = context.unread_elsewhere(server)
        return is_free and load.window.has_room(unread)

    def seconds(self, load: ServerLoad, server: ServerId) -> float:
        """When a server would begin with a new request; the least wins."""
        health = load.health
        health.decay(self.context.now)
        total = health.good + health.bad
        penalty = PENALTY_SECONDS * health.bad / (total + 1)
        if not self.is_model:
            return health.latency * (1 + load.in_flight) + penalty
        unread = load.window.outstanding
        unread += self.context.unread_elsewhere(server)
        return unread / PREFILL_RATE + penalty


def soonest(server: AvailableServer) -> float:
    """Sort key that puts servers first that would begin soon."""
    return server.seconds
