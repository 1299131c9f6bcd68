"""A backend server as the owner of its pool sees it."""

from collections import OrderedDict
from dataclasses import dataclass, field

from pollenloom.admission.server_ramp import ServerRamp
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import VmId

# About the prefixes that an engine's cache holds; 0.2 MB for each server.
KEPT_PREFIXES = 2048


@dataclass(slots=True)
class Adoption:
    """Time in which routers report what they have in flight on a server.

    Attributes:
        awaiting: Routers that have not reported.
        closes_at: When the server opens without the missing reports.
    """

    awaiting: set[VmId]
    closes_at: float

    def is_over(self, now: float) -> bool:
        """Whether grants may be given."""
        return not self.awaiting or now >= self.closes_at


@dataclass(slots=True)
class ServerState:
    """Load, limit and cached prefixes of one server.

    Attributes:
        server: The server.
        ramp: Its concurrency limit.
        adoption: Ends when its load over the fleet is known.
        in_flight: Grants in use over the whole fleet.
        listed: Whether the configuration lets it get new work.
    """

    server: BackendServer
    ramp: ServerRamp
    adoption: Adoption
    in_flight: int = 0
    listed: bool = True
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def free(self, now: float) -> int:
        """Grants that may be given now."""
        if not self.listed or not self.adoption.is_over(now):
            return 0
        return max(0, self.ramp.limit_at(now) - self.in_flight)

    def note_prefixes(self, prefixes: tuple[int, ...]) -> None:
        """Remember what the server will have in its prefix cache."""
        for prefix in prefixes:
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > KEPT_PREFIXES:
            self.prefixes.popitem(last=False)

    def cached_part(self, prefixes: tuple[int, ...]) -> float:
        """Part of the known prefixes that is cached, 0 to 1."""
        for position in range(len(prefixes), 0, -1):
            if prefixes[position - 1] in self.prefixes:
                return position / len(prefixes)
        return 0
