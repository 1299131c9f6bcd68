"""Context in which a backend server is chosen."""

from collections.abc import Callable
from dataclasses import dataclass

from pollenloom.core.ids import ServerId, VersionId
from pollenloom.routing.cold_server_turn import ColdServerTurn
from pollenloom.routing.rate_bucket import RateQuota
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.service_load import ServiceLoad


def allow_any_version(_version: VersionId) -> bool:
    """Allow all versions of a service without a move."""
    return True


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """Values that apply to all servers of a service during a choice.

    Attributes:
        now: Monotonic seconds.
        find_cold_turn: Returns the turn of this router for a cold server; None
            for no limit.
        remote_load: Load of the service on other routers.
        allows_version: Whether the next request may go to a version.
        trial_versions: Versions with a limited share. One that has not used
            up its share gets the next request, since a choice by load would
            leave out a slow version before it is proven bad.
        find_quota: Returns this router's part of the limit that a server has
            named, None without one; None if no server names limits.
    """

    now: float
    find_cold_turn: Callable[[ServerId], ColdServerTurn] | None
    remote_load: ServiceLoad
    allows_version: Callable[[VersionId], bool] = allow_any_version
    trial_versions: frozenset[VersionId] = frozenset()
    find_quota: Callable[[KnownServer], RateQuota | None] | None = None

    def at(self, now: float) -> 'SelectionContext':
        """Return the context at a later time, monotonic seconds."""
        return SelectionContext(
            now,
            self.find_cold_turn,
            self.remote_load,
            self.allows_version,
            self.trial_versions,
            self.find_quota,
        )

    def remote_unread(self, server: ServerId) -> float:
        """Unread prompt tokens that other routers have at a server."""
        return self.remote_load.unread.get(server, 0)

    def remote_running(self, server: ServerId) -> float:
        """Requests that other routers have in flight at a server."""
        return self.remote_load.running.get(server, 0)

    def cold_turn(self, server: ServerId) -> ColdServerTurn | None:
        """Turn of this router for a cold server; None without a limit."""
        if self.find_cold_turn is None:
            return None
        return self.find_cold_turn(server)

    def rate_quota(self, known: KnownServer) -> RateQuota | None:
        """This router's part of the limit of a server; None without one."""
        return None if self.find_quota is None else self.find_quota(known)
