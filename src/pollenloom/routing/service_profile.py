"""What the configuration says of a service."""

from dataclasses import dataclass

from pollenloom.core.ids import ServiceId


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Limits of the backend servers of a service.

    Attributes:
        max_connections: Connections that a server takes from all callers.
        cold_seconds: How long a server is cold after its start.
        cold_rate: Requests a second that a cold server bears; 0 for no limit.
        is_model: Whether the servers run a model engine.
    """

    service: ServiceId
    max_connections: int
    cold_seconds: float
    cold_rate: float
    is_model: bool
