"""What holds for all servers of a service while one is chosen."""

from dataclasses import dataclass

from pollenloom.core.ids import ServerId
from pollenloom.routing.cold_server_turn import ColdServerTurn
from pollenloom.routing.service_load import ServiceLoad


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """Circumstances of a choice.

    Attributes:
        now: Monotonic seconds.
        cold_turn: When this router may send to cold servers; None for no
            limit.
        elsewhere: What other routers have to do with the service.
    """

    now: float
    cold_turn: ColdServerTurn | None
    elsewhere: ServiceLoad

    def unread_elsewhere(self, server: ServerId) -> float:
        """Prompt tokens that other routers have at a server."""
        return self.elsewhere.unread.get(server, 0)

    def running_elsewhere(self, server: ServerId) -> float:
        """Requests that other routers have at a server."""
        return self.elsewhere.running.get(server, 0)
