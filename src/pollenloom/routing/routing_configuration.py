"""Routes, services and keys of one configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pollenloom.core.ids import AccountId, Revision, ServiceId
from pollenloom.routing.caller_limits import CallerLimits
from pollenloom.routing.route import Route
from pollenloom.routing.service_profile import ServiceProfile


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One complete configuration.

    Attributes:
        revision: Increases with each configuration.
        routes: Routes by host, the longest prefix first.
        services: Profile of each service.
        accounts: Client account of each API key.
        requires_keys: Whether routes that are not public need a known API
            key. This does not follow from `accounts`, which is also empty
            after the last key was revoked.
        limits: Limits on the requests of callers.
    """

    revision: Revision
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[ServiceId, ServiceProfile]
    accounts: Mapping[str, AccountId]
    requires_keys: bool = True
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
