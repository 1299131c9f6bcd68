"""Context in which a backend server is chosen."""

from dataclasses import dataclass

from pollenloom.core.ids import ServerId
from pollenloom.routing.cold_server_turn import ColdServerTurn
from pollenloom.routing.service_load import ServiceLoad


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """Values that apply to all servers of a service during a choice.

    Attributes:
        now: Monotonic seconds.
        cold_turn: Turn of this router for cold servers; None for no limit.
        remote_load: Load of the service on other routers.
    """

    now: float
    cold_turn: ColdServerTurn | None
    remote_load: ServiceLoad

    def remote_unread(self, server: ServerId) -> float:
        """Unread prompt tokens that other routers have at a server."""
        return self.remote_load.unread.get(server, 0)

    def remote_running(self, server: ServerId) -> float:
        """Requests that other routers have in flight at a server."""
        return self.remote_load.running.get(server, 0)
