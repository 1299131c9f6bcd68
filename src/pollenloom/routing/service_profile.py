"""Settings of a service in the configuration."""

from dataclasses import dataclass

from pollenloom.core.ids import ServiceId


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Cold-start limits of the backend servers of a service.

    Attributes:
        cold_seconds: How long a server is cold after its start.
        cold_rate: Requests a second that a cold server accepts; 0 for no
            limit.
    """

    service: ServiceId
    cold_seconds: float
    cold_rate: float
