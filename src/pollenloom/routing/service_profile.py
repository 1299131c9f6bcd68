"""Settings of a service in the configuration."""

from dataclasses import dataclass

from pollenloom.core.ids import ServiceId
from pollenloom.scaling.scaling_limits import ScalingLimits


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Cold-start limits of a service's backend servers, and their number.

    Attributes:
        cold_seconds: How long a server is cold after its start.
        cold_rate: Requests a second that a cold server accepts; 0 for no
            limit.
        scaling: Bounds of the number of servers; None if it is not for the
            fleet to order servers.
    """

    service: ServiceId
    cold_seconds: float
    cold_rate: float
    scaling: ScalingLimits | None = None
