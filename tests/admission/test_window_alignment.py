"""Tests of the send windows that routers have in common."""

import pytest

from pollenloom.admission.local_servers import LocalServers
from pollenloom.admission.window_alignment import WindowAlignment
from pollenloom.core.ids import ServerId, ServiceId
from pollenloom.routing.decaying_count import DecayingCount
from pollenloom.routing.send_window import (
    INITIAL_WINDOW_TOKENS,
    MIN_WINDOW_TOKENS,
)
from pollenloom.routing.service_load import ServiceLoad

SERVICE = ServiceId('answers')
NOW = 1000.0
FLEET_WINDOW = 60_000.0


@pytest.fixture
def servers() -> LocalServers:
    """Two servers with their first windows."""
    servers = LocalServers()
    for name in ('i-1', 'i-2'):
        servers.server_load(ServerId(name), NOW)
    return servers


@pytest.fixture
def alignment(servers: LocalServers) -> WindowAlignment:
    """Alignment on a router that has seen no response."""
    return WindowAlignment(SERVICE, servers, DecayingCount())


def remote_load(window: float, weight: float) -> ServiceLoad:
    """Return the load of other routers with a mean window."""
    return ServiceLoad(
        windows={SERVICE: window * weight}, window_weights={SERVICE: weight}
    )


def test_router_that_starts_takes_over_the_windows_of_the_fleet(
    alignment: WindowAlignment, servers: LocalServers
) -> None:
    """Guards against a new router that sends less until it has learned."""
    alignment.align(remote_load(FLEET_WINDOW, 20), NOW)
    assert servers.mean_window() == pytest.approx(FLEET_WINDOW)


def test_windows_keep_what_differs_between_servers(
    alignment: WindowAlignment, servers: LocalServers
) -> None:
    """Guards against slow servers that get the windows of fast ones."""
    servers.loads[ServerId('i-1')].window.limit = 20_000
    servers.loads[ServerId('i-2')].window.limit = 40_000
    alignment.align(remote_load(FLEET_WINDOW, 20), NOW)
    assert servers.loads[ServerId('i-1')].window.limit == pytest.approx(40_000)
    assert servers.loads[ServerId('i-2')].window.limit == pytest.approx(80_000)


def test_router_that_saw_most_responses_weighs_most(
    alignment: WindowAlignment,
) -> None:
    """Guards against idle routers that overrule the busy ones."""
    alignment.answers.add(NOW, 60)
    window = alignment.fleet_window(remote_load(FLEET_WINDOW, 20), NOW)
    expected = (60 * INITIAL_WINDOW_TOKENS + 20 * FLEET_WINDOW) / 80
    assert window == pytest.approx(expected)


def test_routers_without_reports_of_windows_change_nothing(
    alignment: WindowAlignment, servers: LocalServers
) -> None:
    """Guards against windows that collapse during an upgrade.

    Routers of an older version report what they answered but no windows.
    """
    alignment.answers.add(NOW, 3)
    alignment.align(ServiceLoad(answers={SERVICE: 500}), NOW)
    assert servers.mean_window() == pytest.approx(INITIAL_WINDOW_TOKENS)


@pytest.mark.parametrize('window', [0, -FLEET_WINDOW])
def test_window_stays_within_bounds_whatever_others_report(
    alignment: WindowAlignment, servers: LocalServers, window: float
) -> None:
    """Guards against a division by zero, and servers that get nothing."""
    load = remote_load(window, 20)
    alignment.align(load, NOW)
    assert servers.mean_window() >= MIN_WINDOW_TOKENS
    assert alignment.fleet_window(load, NOW) >= MIN_WINDOW_TOKENS


def test_router_without_servers_has_no_weight() -> None:
    """Guards against windows of zero in the mean of the fleet."""
    answers = DecayingCount()
    answers.add(NOW, 10)
    alignment = WindowAlignment(SERVICE, LocalServers(), answers)
    assert not alignment.weight(NOW)
    assert not alignment.weighted_window(NOW)
