"""Servers of a service with room, evaluated once for many requests."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.server_load import ServerLoad
from pollenloom.admission.server_speeds import ServerSpeeds
from pollenloom.core.ids import DataCentreId, ServerId, VersionId
from pollenloom.routing.load_before import LoadBefore
from pollenloom.routing.server_directory import KnownServer

# Share of the servers that must be healthy; below it, unhealthy ones are used
# as well, so that a service continues when most of it is unhealthy.
MIN_HEALTHY_SHARE: Final = 0.5
# Added to the expected delay of a server in proportion to its failures, as if
# it responded later.
FAILURE_PENALTY_SECONDS: Final = 2.0

# Share of a server's room that requests beyond the share of their account may
# fill. The rest is for the others, so that they need not wait until a request
# ends.
SPARE_SHARE: Final = 0.5

LoadLookup = Callable[[ServerId, float], ServerLoad]


@dataclass(frozen=True, slots=True)
class AvailableServer:
    """A server with room.

    Attributes:
        known: The server.
        delay_seconds: Expected seconds before a new request is started.
        has_spare_room: Whether it also has room for requests beyond the share
            of their account.
        load: Load of the server.
        is_elsewhere: Whether it is in another data centre than the preferred
            one.
    """

    known: KnownServer
    delay_seconds: float
    has_spare_room: bool
    load: LoadBefore
    is_elsewhere: bool = False


class ServerCandidates:
    """Servers of a service at one moment.

    Evaluating each server for each waiting request would use most of the
    processor time of a small VM when many requests wait.

    Attributes:
        reachable: Servers that did not become unreachable lately.
        healthy: Servers that are reachable and rarely fail. If too few are,
            all reachable servers; if none is, all servers.
        healthy_fast: Those of `healthy` that are not slower than others.
        available: Servers of `healthy` with room.
        speeds: Speeds of the servers.
        own_data_centre: Data centre whose servers are preferred; None if none
            is.
        evaluated_at: When all servers were evaluated, monotonic seconds.
        ranked: Servers of `available`, the least expected delay first; None if
            it has to be computed.
    """

    def __init__(
        self,
        servers: list[KnownServer],
        find_load: LoadLookup,
        context: SelectionContext,
        speeds: ServerSpeeds,
        *,
        is_model: bool,
        own_data_centre: DataCentreId | None = None,
    ) -> None:
        self.find_load = find_load
        self.speeds = speeds
        self.own_data_centre = own_data_centre
        self.context = context
        self.is_model = is_model
        now = context.now
        self.evaluated_at = now
        versions = {known.entry.version for known in servers}
        allowed_versions = set(filter(context.allows_version, versions))
        allowed = {
            known.entry.server: known
            for known in servers
            if known.entry.version in allowed_versions
        }
        self.reachable: dict[ServerId, KnownServer] = {}
        self.healthy: dict[ServerId, KnownServer] = {}
        for server, known in allowed.items():
            load = find_load(server, now)
            if load.health.is_down(now):
                continue
            self.reachable[server] = known
            if not load.is_unhealthy(now):
                self.healthy[server] = known
        if len(self.healthy) < len(allowed) * MIN_HEALTHY_SHARE:
            self.healthy = self.reachable or allowed
        self.healthy_fast = {
            name: self.healthy[name]
            for name in self.healthy
            if not speeds.is_slow(name)
        }
        self.available: dict[ServerId, AvailableServer] = {}
        self.ranked: list[AvailableServer] | None = None
        self.evaluate_all()

    def evaluate_all(self) -> None:
        """Evaluate all healthy servers."""
        for known in self.healthy.values():
            self.evaluate_server(known)

    def find_available(self, server: ServerId) -> AvailableServer | None:
        """Return a healthy server if it has room."""
        return self.available.get(server)

    def update_available(self, known: KnownServer) -> None:
        """Evaluate a healthy server again, after its load changed."""
        self.evaluate_server(known)

    def evaluate_server(self, known: KnownServer) -> None:
        """Record whether a healthy server has room."""
        server = known.entry.server
        self.ranked = None
        found = self.check_room(known)
        if found is None:
            self.available.pop(server, None)
        else:
            self.available[server] = found

    def refresh(self, known: KnownServer) -> None:
        """Evaluate a server again after a request was sent to it.

        Its version may have used up its share by that request.
        """
        if not self.context.allows_version(known.entry.version):
            self.drop_version(known.entry.version)
        elif known.entry.server in self.healthy:
            self.update_available(known)

    def drop_version(self, version: VersionId) -> None:
        """Remove all servers of a version."""
        self.ranked = None
        for servers in (self.reachable, self.healthy, self.healthy_fast):
            for server, known in tuple(servers.items()):
                if known.entry.version == version:
                    servers.pop(server)
                    self.available.pop(server, None)

    def check_room(self, known: KnownServer) -> AvailableServer | None:
        """Return a server with its expected delay, or None without room."""
        server = known.entry.server
        load = self.find_load(server, self.context.now)
        if not self.may_send(load, known):
            return None
        load_before = LoadBefore(
            is_model=self.is_model,
            unread=self.unread(load, server),
            running=load.in_flight + self.context.remote_running(server),
            slots=known.entry.slots,
        )
        return AvailableServer(
            known,
            self.estimate_delay(load, server, load_before),
            has_spare_room=self.is_idle(known, load, load_before),
            load=load_before,
            is_elsewhere=is_elsewhere(known, self.own_data_centre),
        )

    def is_idle(
        self, known: KnownServer, load: ServerLoad, before: LoadBefore
    ) -> bool:
        """Whether requests beyond the share of their account may be sent.

        Free slots show no idle capacity where a limit on requests binds.
        """
        if self.context.rate_quota(known) and not load.rate_bucket.is_idle(
            self.context.now
        ):
            return False
        return (
            before.running < before.slots * SPARE_SHARE
            and before.unread < load.window.limit * SPARE_SHARE
        )

    def rank(self) -> list[AvailableServer]:
        """Return the available servers in the order of expected delay."""
        if self.ranked is None:
            self.ranked = sorted(self.available.values(), key=by_delay)
        return self.ranked

    def is_limited(self, server: ServerId) -> bool:
        """Whether a healthy server has named a limit on its requests."""
        return self.context.rate_quota(self.healthy[server]) is not None

    def is_exhausted(self, excluded: Collection[ServerId]) -> bool:
        """Whether no server can have room for a request.

        A request with excluded servers may go to servers outside `healthy`,
        so nothing is concluded for it.
        """
        return not self.available and not excluded

    def ranked_for(
        self, excluded: Collection[ServerId]
    ) -> list[AvailableServer]:
        """Return servers with room for a request, the least delay first.

        If all healthy servers are excluded, any reachable server may be used.
        """
        if excluded and not self.healthy.keys() - excluded:
            found = map(self.check_room, self.reachable.values())
            ranked = sorted(filter(None, found), key=by_delay)
        else:
            ranked = self.rank()
        return [
            server
            for server in ranked
            if server.known.entry.server not in excluded
        ]

    def trial_server(
        self, excluded: Collection[ServerId]
    ) -> AvailableServer | None:
        """Return the server of a trial version with the least delay, if any."""
        if not self.context.trial_versions:
            return None
        for server in self.ranked_for(excluded):
            if server.known.entry.version in self.context.trial_versions:
                return server
        return None

    def may_send(self, load: ServerLoad, known: KnownServer) -> bool:
        """Whether a server has room and, if cold, may get a request now."""
        context = self.context
        server = known.entry.server
        running: float = load.in_flight
        if self.is_model:
            # Responses of models take seconds, so that the counts reported by
            # other routers are recent enough.
            running += context.remote_running(server)
        if running >= known.entry.slots:
            return False
        if not load.window.has_room(context.remote_unread(server)):
            return False
        turn = context.cold_turn(server) if known.is_cold(context.now) else None
        if turn is not None and not load.limiter.may_send(turn, context.now):
            return False
        quota = context.rate_quota(known)
        return not quota or load.rate_bucket.may_send(quota, context.now)

    def estimate_delay(
        self, load: ServerLoad, server: ServerId, before: LoadBefore
    ) -> float:
        """Return the expected seconds before a new request is started."""
        health = load.health
        if self.is_model and not health.failures:
            return self.speeds.prefill_seconds(server, before.unread)
        health.decay(self.context.now)
        total = health.successes + health.failures
        penalty = FAILURE_PENALTY_SECONDS * health.failures / (total + 1)
        if not self.is_model:
            running = self.speeds.waiting_requests(load.in_flight, before)
            return health.latency * (1 + running) + penalty
        return self.speeds.prefill_seconds(server, before.unread) + penalty

    def unread(self, load: ServerLoad, server: ServerId) -> float:
        """Return the unread prompt tokens that all routers have at a server."""
        return load.window.outstanding + self.context.remote_unread(server)


def is_elsewhere(known: KnownServer, preferred: DataCentreId | None) -> bool:
    """Whether a server is in another data centre than the preferred one."""
    return preferred not in {None, known.entry.data_centre}


def by_delay(server: AvailableServer) -> float:
    """Sort key for the least expected delay."""
    return server.delay_seconds
