"""Report of a pool owner on a response."""

from dataclasses import dataclass

from pollenloom.core.ids import RouteId, ServiceId, VersionId
from pollenloom.core.states import Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseReport:
    """How one request ended at a backend server.

    Attributes:
        service: Service that ran the request.
        route: Route of the service.
        version: Version of the backend server.
        outcome: How the request ended.
        cost: Cost in the unit of the service's resource.
        first_byte_seconds: Time to the first byte; None if none arrived.
        duration_seconds: Time to the end; None if the response did not end.
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
        """Seconds after the first byte for each unit of cost.

        None without a first byte or an end.
        """
        if self.duration_seconds is None or self.first_byte_seconds is None:
            return None
        body_seconds = self.duration_seconds - self.first_byte_seconds
        return body_seconds / max(self.cost, 1)
