"""What one router has at one server."""

from dataclasses import dataclass, field

from pollenloom.routing.cold_server_limiter import ColdServerLimiter
from pollenloom.routing.send_window import SendWindow
from pollenloom.routing.server_health import ServerHealth


@dataclass(slots=True)
class ServerLoad:
    """What this router has at one server, and how the server answers."""

    health: ServerHealth
    limiter: ColdServerLimiter = field(default_factory=ColdServerLimiter)
    window: SendWindow = field(default_factory=SendWindow)
    in_flight: int = 0

    def is_unsound(self, now: float) -> bool:
        """Whether the server is unreachable or fails too often."""
        return self.health.is_down(now) or self.health.is_bad(now)
