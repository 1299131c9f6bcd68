"""Tests of the limit on requests to cold servers."""

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import ServerId
from pollenloom.routing.cold_server_limiter import ColdServerLimiter
from pollenloom.routing.cold_server_turn import CLOSED_TURN, cold_turn
from pollenloom.routing.fleet_position import FleetPosition

SERVER = ServerId('i-1')
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
STEP_SECONDS = 0.05


def sent_times(
    routers: int,
    rate: float,
    times: list[float],
) -> list[float]:
    """Return when requests are sent if all routers always have some waiting.

    One time for each request, in the order of `times`.
    """
    limiters = [ColdServerLimiter() for _ in range(routers)]
    sent: list[float] = []
    for time in times:
        for rank, limiter in enumerate(limiters):
            position = FleetPosition(rank, routers)
            turn = cold_turn(rate, position, time, SERVER)
            if limiter.may_send(turn, time):
                limiter.mark_used(turn, time)
                sent.append(time)
    return sent


@given(
    routers=st.integers(1, 330),
    rate=st.floats(2, 40),
    start=st.floats(1e9, 2e9),
    idle=st.floats(0, 5),
)
def test_sum_over_the_fleet_stays_within_the_bound(
    routers: int,
    rate: float,
    start: float,
    idle: float,
) -> None:
    """Guards against routers that together overload a cold server.

    It happened with 74 routers that each sent a first request at once. The
    routers do not communicate, and all have requests at all times except for
    one idle interval.
    """
    steps = range(30)
    times = [start + step * STEP_SECONDS for step in steps]
    times += [times[-1] + idle + step * STEP_SECONDS for step in steps]
    sent = sent_times(routers, rate, times)
    bound = rate * RATE_FACTOR + EXTRA_REQUESTS
    for first in set(sent):
        assert sum(first <= time < first + 1 for time in sent) <= bound


def test_full_rate_is_used() -> None:
    """Guards against cold servers that get far less than their rate."""
    times = [step * STEP_SECONDS for step in range(200)]
    assert len(sent_times(70, 14, times)) >= 0.8 * 14 * 10


def test_router_has_turns_for_some_servers_at_most_times() -> None:
    """Guards against cold servers that are idle while requests wait.

    A router had its turns for all servers at the same time, in a large fleet
    once in several seconds, and few requests waited just then.
    """
    position = FleetPosition(5, 70)
    times = [step * STEP_SECONDS for step in range(200)]
    has_turn = [
        any(
            cold_turn(14, position, time, ServerId(f'i-{number}')).is_open
            for number in range(100)
        )
        for time in times
    ]
    assert sum(has_turn) >= 0.9 * len(times)


def test_router_without_position_sends_nothing() -> None:
    """Guards against routers that each use the full rate after their start."""
    assert not ColdServerLimiter().may_send(CLOSED_TURN, 0)
