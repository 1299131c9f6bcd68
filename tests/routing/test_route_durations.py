"""Durations of the latest requests of each route."""

from pollenloom.core.ids import RouteId
from pollenloom.routing.route_durations import (
    KEPT_DURATIONS,
    MAX_ROUTES,
    RouteDurations,
)

ROUTE = RouteId('r1')


def test_longest_of_the_latest_durations() -> None:
    """Guards against one slow response that counts for ever."""
    durations = RouteDurations()
    assert durations.longest(ROUTE) is None
    durations.add(ROUTE, 9)
    durations.add(ROUTE, 2)
    assert durations.longest(ROUTE) == 9
    for _ in range(KEPT_DURATIONS):
        durations.add(ROUTE, 3)
    assert durations.longest(ROUTE) == 3


def test_unused_routes_are_forgotten() -> None:
    """Guards against memory that grows with each configuration."""
    durations = RouteDurations()
    durations.add(RouteId('unused'), 1)
    durations.add(ROUTE, 1)
    for number in range(MAX_ROUTES - 1):
        durations.add(RouteId(f'new-{number}'), 1)
        durations.add(ROUTE, 1)
    assert len(durations.durations) == MAX_ROUTES
    assert durations.longest(RouteId('unused')) is None
    assert durations.longest(ROUTE) == 1
