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
        expected_seconds: Usual time to the first byte under the load before
            the request; 1 if the load class alone tells.
        load_class: Class of that load.
        cancelled_after: Time after which the caller or its deadline ended the
            request, in seconds; None if neither did.
    """

    service: ServiceId
    route: RouteId
    version: VersionId
    outcome: Outcome
    cost: float
    first_byte_seconds: float | None
    duration_seconds: float | None
    expected_seconds: float = 1
    load_class: int = 0
    cancelled_after: float | None = None

    @property
    def seconds_per_cost(self) -> float | None:
        """Seconds after the first byte for each unit of cost.

        None without a first byte or an end.
        """
        seconds = self.duration_seconds or self.cancelled_after
        if seconds is None or self.first_byte_seconds is None:
            return None
        body_seconds = seconds - self.first_byte_seconds
        return body_seconds / max(self.cost, 1)
