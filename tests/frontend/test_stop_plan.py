"""Which requests a planned stop still passes on."""

import math

import pytest

from pollenloom.frontend.stop_plan import NO_STOP, StopPlan

PLAN = StopPlan(closes_at=103, ends_at=107)


@pytest.mark.parametrize(
    ('deadline', 'longest_seconds', 'latest'),
    [
        (107, math.inf, 103),
        (108, 1, 103),
        (108, 5, 102),
        (108, None, -math.inf),
        (108, math.inf, -math.inf),
    ],
)
def test_latest_send_leaves_time_for_the_response(
    deadline: float, longest_seconds: float | None, latest: float
) -> None:
    """Guards against requests that the end of the stop would cut."""
    assert PLAN.latest_send(deadline, longest_seconds) == latest


def test_no_stop_limits_nothing() -> None:
    """Guards against a router that refuses requests while it runs."""
    assert NO_STOP.latest_send(10, None) == math.inf
    assert NO_STOP.ends_at == math.inf


@pytest.mark.parametrize(('drain_seconds', 'closes_at'), [(7, 103), (3, 101.5)])
def test_plan_keeps_time_for_the_last_request(
    drain_seconds: float, closes_at: float
) -> None:
    """Guards against passing requests on until a short grace is over."""
    plan = StopPlan.from_limits(100, 3, 100 + drain_seconds)
    assert plan.closes_at == closes_at
    assert plan.closes_at < plan.ends_at < 100 + drain_seconds
