"""Decoding of the configuration that operators write to the store.

Field names of the `Wire*` structs are keys of the JSON record.
"""

from collections import defaultdict
from typing import Annotated, Final

import msgspec
from expression import Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import AccountId, Revision, RouteId, ServiceId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.platform import wire_names
from pollenloom.routing.caller_limits import CallerLimits
from pollenloom.routing.route import Route, WeightedService
from pollenloom.routing.route_kind import RouteKind
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.routing.service_profile import ServiceProfile
from pollenloom.scaling.scaling_limits import ScalingLimits
from pollenloom.validation.untrusted_bytes import decode_json

# Versions are counters or times, which have 64 bits. After a larger one, which
# only a mistake can write, no other would be newer.
MAX_VERSION: Final = 2**63 - 1
# Integers up to here are exact in floating point, and products and sums of such
# numbers stay finite.
MAX_NUMBER: Final = 2**53
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class WireWeight(msgspec.Struct, frozen=True):
    """A service of a route with its share of the requests."""

    service: str
    weight: Amount


class WireRoute(msgspec.Struct, frozen=True):
    """A route.

    If `weighted_services` is not empty, it replaces `service`.
    """

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: Amount
    target_latency_ms: Amount = 0
    service: str = ''
    weighted_services: tuple[WireWeight, ...] = ()
    max_attempts: Annotated[int, msgspec.Meta(le=MAX_NUMBER)] = 1
    public: bool = False
    resumable: bool = False


class WireScaling(msgspec.Struct, frozen=True):
    """How many servers of a service may be ordered in each data centre."""

    min_replicas: int
    max_replicas: int
    boot_time_s: float

    def __post_init__(self) -> None:
        """Validate the values, so that an error names their path.

        Raises:
            ValueError: If one is out of range.
        """
        read_scaling(self)


class WireService(msgspec.Struct, frozen=True):
    """A service, how its servers warm up, and how many it may have.

    Attributes:
        cold_start_s: Seconds that a new server stays cold.
        cold_per_s: Requests a second that a cold server accepts; 0 for no
            limit.
        scaling: Null or missing if the platform takes no orders for it.
    """

    name: str
    cold_start_s: Amount = 0
    cold_per_s: Amount = 0
    scaling: WireScaling | None = None


class WireLimits(msgspec.Struct, frozen=True):
    """Limits on the requests and connections of callers."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Amount = 3000
    idle_timeout_ms: Amount = 15_000


class WireTenant(msgspec.Struct, frozen=True):
    """A client account, called tenant in the protocol, with its API keys."""

    name: str
    api_keys: tuple[str, ...] = ()


class WireConfiguration(msgspec.Struct, frozen=True):
    """The whole configuration record.

    Attributes:
        tenants: Client accounts; unset if the record has none at all. An
            empty list says that all were removed.
    """

    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...] = ()
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: tuple[WireTenant, ...] | msgspec.UnsetType = msgspec.UNSET


def decode_configuration(
    payload: bytes,
) -> Result[RoutingConfiguration, Failure]:
    """Decode the configuration record; errors are those of `decode_wire`."""
    return decode_wire(payload).map(read_configuration)


def decode_wire(payload: bytes) -> Result[WireConfiguration, Failure]:
    """Decode the configuration record into its fields.

    Errors:
        CONFIGURATION_INVALID: The payload is not valid JSON, a field is
            missing or has another type, or a number is out of range.
    """
    return decode_json(payload, WireConfiguration).map_error(
        lambda failure: Failure(ErrorKind.CONFIGURATION_INVALID, failure.detail)
    )


def read_configuration(wire: WireConfiguration) -> RoutingConfiguration:
    """Return the configuration that routers use."""
    by_host: dict[str, list[Route]] = defaultdict(list)
    for route in wire.routes:
        by_host[route.host.lower()].append(read_route(route))
    return RoutingConfiguration(
        revision=Revision(wire.version),
        routes={
            host: tuple(sorted(routes, key=longest_first))
            for host, routes in by_host.items()
        },
        services={
            ServiceId(service.name): read_service(service)
            for service in wire.services
        },
        accounts=read_accounts(wire.tenants or ()),
        requires_keys=wire.tenants is not msgspec.UNSET,
        limits=read_limits(wire.limits),
    )


def longest_first(route: Route) -> int:
    """Sort key that puts the longest prefix first."""
    return -len(route.prefix)


def read_route(wire: WireRoute) -> Route:
    """Return the route; without a split, its service gets all requests."""
    weights = wire.weighted_services or (WireWeight(wire.service, 1),)
    return Route(
        route=RouteId(wire.name),
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=read_kind(wire.route_type),
        services=tuple(
            WeightedService(ServiceId(entry.service), entry.weight)
            for entry in weights
        ),
        timeout=wire.timeout_ms / MILLISECONDS_PER_SECOND,
        objective=(wire.target_latency_ms or wire.timeout_ms)
        / MILLISECONDS_PER_SECOND,
        max_attempts=max(1, wire.max_attempts),
        is_public=wire.public,
        is_resumable=wire.resumable,
    )


def read_kind(route_type: str) -> RouteKind:
    """Return the kind of a route.

    Requests of an unknown type run at most once, since it is not known
    whether they can be repeated safely.
    """
    if route_type == wire_names.IDEMPOTENT:
        return RouteKind.IDEMPOTENT
    if route_type == wire_names.STREAMING:
        return RouteKind.STREAMING
    return RouteKind.AT_MOST_ONCE


def read_service(wire: WireService) -> ServiceProfile:
    """Return the profile of a service."""
    return ServiceProfile(
        service=ServiceId(wire.name),
        cold_seconds=wire.cold_start_s,
        cold_rate=wire.cold_per_s,
        scaling=None if wire.scaling is None else read_scaling(wire.scaling),
    )


def read_scaling(wire: WireScaling) -> ScalingLimits:
    """Return the bounds of the number of servers.

    Raises:
        ValueError: If a value is out of range.
    """
    return ScalingLimits(
        smallest=wire.min_replicas,
        largest=wire.max_replicas,
        boot_seconds=wire.boot_time_s,
    )


def read_accounts(
    tenants: tuple[WireTenant, ...],
) -> dict[str, AccountId]:
    """Return the client account of each API key.

    An empty key is left out, since a request without a key would have it.
    """
    return {
        key: AccountId(tenant.name)
        for tenant in tenants
        for key in tenant.api_keys
        if key
    }


def read_limits(wire: WireLimits) -> CallerLimits:
    """Return the limits on callers."""
    return CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_seconds=wire.header_timeout_ms / MILLISECONDS_PER_SECOND,
        idle_seconds=wire.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )
