"""Tests of the health of a server."""

from pollenloom.routing.server_health import DOWN_SECONDS, ServerHealth


def test_usual_share_of_failures_is_healthy() -> None:
    """Guards against excluding a server for its usual failures."""
    health = ServerHealth(0)
    for number in range(100):
        health.record_response(number / 100, is_good=number % 7 != 0)
    assert not health.is_unhealthy(1)


def test_failing_server_is_unhealthy_until_failures_decay() -> None:
    """Guards against a server that stays excluded for ever."""
    health = ServerHealth(0)
    for _ in range(8):
        health.record_response(0, is_good=False)
    assert health.is_unhealthy(0.5)
    assert not health.is_unhealthy(30)


def test_unreachable_server_is_tried_again() -> None:
    """Guards against a server that is not tried again after a failure."""
    health = ServerHealth(0)
    health.record_unreachable(0)
    assert health.is_down(DOWN_SECONDS / 2)
    assert not health.is_down(DOWN_SECONDS)
