"""Load of one router at one backend server."""

from dataclasses import dataclass, field

from pollenloom.routing.cold_server_limiter import ColdServerLimiter
from pollenloom.routing.rate_bucket import RateBucket
from pollenloom.routing.send_window import SendWindow
from pollenloom.routing.server_health import ServerHealth


@dataclass(slots=True)
class ServerLoad:
    """Load of this router at one backend server, and the server's health.

    Attributes:
        health: Recent failures and latency of the server.
        limiter: Limit on requests while the server is cold.
        rate_bucket: Limit on requests to a server that names one.
        window: Limit on unread prompt tokens at the server.
        in_flight: Requests of this router that the server has not ended.
    """

    health: ServerHealth
    limiter: ColdServerLimiter = field(default_factory=ColdServerLimiter)
    rate_bucket: RateBucket = field(default_factory=RateBucket)
    window: SendWindow = field(default_factory=SendWindow)
    in_flight: int = 0

    def is_unhealthy(self, now: float) -> bool:
        """Whether the server is unreachable or fails too often."""
        return self.health.is_down(now) or self.health.is_unhealthy(now)
