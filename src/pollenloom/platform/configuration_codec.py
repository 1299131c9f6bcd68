"""Decodes the operator's configuration."""

from collections import defaultdict

import msgspec
from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import AccountId, Revision, RouteId, ServiceId
from pollenloom.core.units import MILLISECONDS
from pollenloom.platform import wire_names
from pollenloom.routing.caller_limits import CallerLimits
from pollenloom.routing.route import Route, WeightedService
from pollenloom.routing.route_kind import RouteKind
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.routing.service_profile import ServiceProfile


class WireWeight(msgspec.Struct, frozen=True):
    """One entry of a split."""

    service: str
    weight: float


class WireRoute(msgspec.Struct, frozen=True):
    """One route; a split, if present, replaces `service`."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0
    service: str = ''
    weighted_services: tuple[WireWeight, ...] = ()
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class WireService(msgspec.Struct, frozen=True):
    """One service."""

    name: str
    cold_start_s: float = 0
    cold_per_s: float = 0


class WireLimits(msgspec.Struct, frozen=True):
    """Limits on callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class WireTenant(msgspec.Struct, frozen=True):
    """A client account with its keys."""

    name: str
    api_keys: tuple[str, ...] = ()


class WireConfiguration(msgspec.Struct, frozen=True):
    """The configuration in full."""

    version: int
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...] = ()
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: tuple[WireTenant, ...] = ()


def decode_configuration(
    payload: bytes,
) -> Result[RoutingConfiguration, Failure]:
    """Decode the value of the configuration's key."""
    try:
        wire = msgspec.json.decode(payload, type=WireConfiguration)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(Failure(ErrorKind.CONFIGURATION_INVALID, str(error)))
    by_host: dict[str, list[Route]] = defaultdict(list)
    for route in wire.routes:
        by_host[route.host.lower()].append(read_route(route))
    return Ok(
        RoutingConfiguration(
            revision=Revision(wire.version),
            routes={
                host: tuple(sorted(routes, key=longest_first))
                for host, routes in by_host.items()
            },
            services={
                ServiceId(service.name): read_service(service)
                for service in wire.services
            },
            accounts={
                key: AccountId(tenant.name)
                for tenant in wire.tenants
                for key in tenant.api_keys
            },
            limits=read_limits(wire.limits),
        )
    )


def longest_first(route: Route) -> int:
    """Sort key that puts long prefixes first."""
    return -len(route.prefix)


def read_route(wire: WireRoute) -> Route:
    """Return a route; kinds that are not known may run at most once."""
    split = wire.weighted_services or (WireWeight(wire.service, 1),)
    return Route(
        route=RouteId(wire.name),
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=read_kind(wire.route_type),
        services=tuple(
            WeightedService(ServiceId(entry.service), entry.weight)
            for entry in split
        ),
        timeout=wire.timeout_ms / MILLISECONDS,
        objective=(wire.target_latency_ms or wire.timeout_ms) / MILLISECONDS,
        max_attempts=max(1, wire.max_attempts),
        is_public=wire.public,
        is_resumable=wire.resumable,
    )


def read_kind(word: str) -> RouteKind:
    """Return the kind of a route."""
    if word == wire_names.IDEMPOTENT:
        return RouteKind.IDEMPOTENT
    if word == wire_names.STREAMING:
        return RouteKind.STREAMING
    return RouteKind.AT_MOST_ONCE


def read_service(wire: WireService) -> ServiceProfile:
    """Return the profile of a service."""
    return ServiceProfile(
        service=ServiceId(wire.name),
        cold_seconds=wire.cold_start_s,
        cold_rate=wire.cold_per_s,
    )


def read_limits(wire: WireLimits) -> CallerLimits:
    """Return the limits on callers."""
    return CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_seconds=wire.header_timeout_ms / MILLISECONDS,
        idle_seconds=wire.idle_timeout_ms / MILLISECONDS,
    )
