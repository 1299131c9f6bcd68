"""Findings in the routes of a configuration that routers would use."""

import re
from collections.abc import Iterator
from typing import Final

from pollenloom.configuration.configuration_entries import (
    ConfigurationEntries,
    EntryField,
    RoutePlace,
)
from pollenloom.configuration.configuration_finding import (
    ConfigurationFinding,
    warning,
)
from pollenloom.routing.route_kind import RouteKind

HOST: Final = re.compile(r'[^\s/]+')
# Paths are compared without query and fragment.
PATH: Final = re.compile(r'[^\s?#]+')

Findings = Iterator[ConfigurationFinding]


def inspect_routes(entries: ConfigurationEntries) -> Findings:
    """Yield routes without effect and their contradictions."""
    yield from find_shadowed_routes(entries)
    yield from find_unmatchable_hosts(entries)
    yield from find_unmatchable_prefixes(entries)
    yield from find_route_contradictions(entries)
    yield from find_unused_route_services(entries)


def find_shadowed_routes(entries: ConfigurationEntries) -> Findings:
    """Yield routes whose host and prefix an earlier route has."""
    matched: dict[tuple[str, str], RoutePlace] = {}
    named: dict[str, RoutePlace] = {}
    for place in entries.routes:
        route = place.route
        first = matched.setdefault((route.host, route.prefix), place)
        if first is not place:
            yield warning(
                place.path,
                f'never matches: {first.path} has the same host and prefix',
            )
        earlier = named.setdefault(route.route, place)
        if earlier is not place:
            yield warning(
                place.path, f'{earlier.path} has the same name {route.route!r}'
            )


def find_unmatchable_hosts(entries: ConfigurationEntries) -> Findings:
    """Yield routes with a host that requests can't have."""
    for place in entries.routes:
        host = place.route.host
        path = entries.field_path(place.path, EntryField.HOST)
        name, colon, port = host.rpartition(':')
        if not host:
            yield warning(path, 'matches only requests without a host')
        elif colon and port.isdigit():
            yield warning(
                path, f'never matches: ports are left out, as in {name!r}'
            )
        elif not HOST.fullmatch(host):
            yield warning(path, f'never matches: {host!r} is no host')


def find_unmatchable_prefixes(entries: ConfigurationEntries) -> Findings:
    """Yield routes with a prefix that paths of requests can't have."""
    for place in entries.routes:
        prefix = place.route.prefix
        path = entries.field_path(place.path, EntryField.PREFIX)
        if not prefix.startswith('/'):
            yield warning(path, 'never matches: paths of requests begin with /')
        elif not PATH.fullmatch(prefix):
            yield warning(path, f'never matches: {prefix!r} is no path')


def find_route_contradictions(entries: ConfigurationEntries) -> Findings:
    """Yield limits of a route that contradict each other."""
    for place in entries.routes:
        route = place.route
        if not place.is_known_kind:
            yield warning(
                entries.field_path(place.path, EntryField.KIND),
                'unknown type: requests are run at most once',
            )
        if not route.timeout:
            yield warning(
                entries.field_path(place.path, EntryField.TIMEOUT),
                'every request is out of time at once',
            )
        if route.objective > route.timeout:
            yield warning(
                entries.field_path(place.path, EntryField.OBJECTIVE),
                f'{route.objective:g} s is above the timeout of'
                f' {route.timeout:g} s',
            )
        if route.is_resumable and route.kind is not RouteKind.STREAMING:
            yield warning(
                entries.field_path(place.path, EntryField.RESUMABLE),
                'has no effect: the route is not a streaming one',
            )


def find_unused_route_services(entries: ConfigurationEntries) -> Findings:
    """Yield services of routes that get no requests, or have no entry."""
    known = entries.configuration.services
    for place in entries.routes:
        services = place.route.services
        has_weights = any(entry.weight for entry in services)
        if not has_weights:
            yield warning(
                place.path, 'all weights are 0: the last service gets all'
            )
        for path, entry in zip(place.service_paths, services, strict=True):
            if has_weights and not entry.weight:
                yield warning(path, f'{entry.service!r} has weight 0')
            if entry.service not in known:
                yield warning(path, f'no service named {entry.service!r}')
