"""Limit on requests for cold servers."""

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.routing.cold_server_limiter import ColdServerLimiter
from pollenloom.routing.cold_server_turn import CLOSED, cold_turn

OVERAGE = 1.5
SLACK = 5
STEP = 0.05


def sent_times(
    routers: int,
    rate: float,
    times: list[float],
) -> list[float]:
    """Return when requests are sent if all routers always have some."""
    limiters = [ColdServerLimiter() for _ in range(routers)]
    sent: list[float] = []
    for time in times:
        for rank, limiter in enumerate(limiters):
            turn = cold_turn(rate, rank, routers, time)
            if limiter.may_send(turn):
                limiter.take(turn)
                sent.append(time)
    return sent


@given(
    routers=st.integers(1, 330),
    rate=st.floats(2, 40),
    start=st.floats(1e9, 2e9),
    silent=st.floats(0, 5),
)
def test_sum_over_the_fleet_stays_within_the_bound(
    routers: int,
    rate: float,
    start: float,
    silent: float,
) -> None:
    """Guards against routers that together overload a cold server.

    Found on scale-1 of xela-telar-grown: 74 routers each sent a first request
    at once. They do not hear of each other, and all have requests at all
    times, also after a time without any.
    """
    steps = range(30)
    times = [start + step * STEP for step in steps]
    times += [times[-1] + silent + step * STEP for step in steps]
    sent = sent_times(routers, rate, times)
    bound = rate * OVERAGE + SLACK
    for first in set(sent):
        assert sum(first <= time < first + 1 for time in sent) <= bound


def test_whole_rate_is_used() -> None:
    """Guards against cold servers that get nearly nothing."""
    times = [step * STEP for step in range(200)]
    assert len(sent_times(70, 14, times)) >= 0.8 * 14 * 10


def test_router_that_knows_no_other_sends_nothing() -> None:
    """Guards against routers that each take the whole rate at their start."""
    assert not ColdServerLimiter().may_send(CLOSED)
