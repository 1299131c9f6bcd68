"""What pool owners tell about an answer."""

from dataclasses import dataclass

from pollenloom.core.ids import RouteId, ServiceId, VersionId
from pollenloom.core.states import Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseReport:
    """How one request ended at a backend server.

    Attributes:
        service: Service that ran it.
        route: Route of the service.
        version: Version of the server.
        outcome: How it ended.
        cost: Cost in the unit of the service's resource.
        first_byte_seconds: Time to the first byte, if there was one.
        duration_seconds: Time to the end, if it ended.
    """

    service: ServiceId
    route: RouteId
    version: VersionId
    outcome: Outcome
    cost: float
    first_byte_seconds: float | None
    duration_seconds: float | None

    @property
    def seconds_per_cost(self) -> float | None:
        """Time after the first byte for each unit of cost."""
        if self.duration_seconds is None or self.first_byte_seconds is None:
            return None
        rest = self.duration_seconds - self.first_byte_seconds
        return rest / max(self.cost, 1)
