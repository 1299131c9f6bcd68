"""One route of a routing configuration."""

from dataclasses import dataclass

from pollenloom.core.ids import RouteId, ServiceId
from pollenloom.routing.route_kind import RouteKind


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in the split of a route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for the requests of a host and path prefix.

    Attributes:
        prefix: Path prefix; begins and ends with a slash.
        timeout: Longest time from receiving a request to the end of its
            response, seconds.
        objective: Target latency, seconds.
        max_attempts: Backend servers that one request may be sent to.
        is_public: Whether requests need no API key.
        is_resumable: Whether a stream may continue at another backend server.
    """

    route: RouteId
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout: float
    objective: float
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT
