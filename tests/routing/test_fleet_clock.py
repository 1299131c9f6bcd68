"""Tests of the time that routers have in common."""

import random
from collections import deque
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import ServerId
from pollenloom.routing.cold_server_limiter import ColdServerLimiter
from pollenloom.routing.cold_server_turn import CLOSED_TURN, cold_turn
from pollenloom.routing.fleet_clock import (
    LARGEST_DRIFT_SECONDS,
    LARGEST_TIME_SECONDS,
    SETTLE_SECONDS,
    FleetClock,
)
from pollenloom.routing.fleet_position import FleetPosition

SERVER = ServerId('i-1')
TICK_SECONDS = 0.05
REPORT_DELAY_SECONDS = 0.2
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5


@dataclass
class Router:
    """A router that always has requests for one cold server.

    Attributes:
        lag: Time for which the machine was suspended, which its steady clock
            does not count, seconds.
    """

    rank: int
    started_at: float
    clock: FleetClock = field(default_factory=FleetClock)
    limiter: ColdServerLimiter = field(default_factory=ColdServerLimiter)
    lag: float = 0

    def monotonic(self, now: float) -> float:
        """Return what its steady clock says, which began at its start."""
        return now - self.started_at - self.lag

    def send(self, now: float, routers: int, rate: float) -> bool:
        """Send a request if it has its turn; return whether it did."""
        monotonic = self.monotonic(now)
        fleet_time = self.clock.settled_time(monotonic, now)
        turn = CLOSED_TURN
        if fleet_time is not None:
            position = FleetPosition(self.rank, routers)
            turn = cold_turn(rate, position, fleet_time, SERVER)
        if not self.limiter.may_send(turn, monotonic):
            return False
        self.limiter.mark_used(turn, monotonic)
        return True


def send_times(
    routers: list[Router], rate: float, suspended: set[int], seconds: float
) -> list[float]:
    """Return when requests arrive at the server.

    Routers hear of each other after a delay. Some are suspended from 3 to 5 s.
    """
    sent: list[float] = []
    latest_times: deque[float] = deque()
    for step in range(round(seconds / TICK_SECONDS)):
        now = 1000 + step * TICK_SECONDS
        running = running_routers(routers, suspended, now)
        is_heard = len(latest_times) * TICK_SECONDS > REPORT_DELAY_SECONDS
        heard = latest_times.popleft() if is_heard else 0
        for each_running in running:
            each_running.clock.observe(heard, each_running.monotonic(now))
        sent += [
            now for sender in running if sender.send(now, len(routers), rate)
        ]
        latest_times.append(
            max(
                (each.clock.now(each.monotonic(now)) for each in running),
                default=0,
            )
        )
    return sent


def running_routers(
    routers: list[Router], suspended: set[int], now: float
) -> list[Router]:
    """Return the routers that run; the steady clock of others stands still."""
    started = [router for router in routers if router.started_at <= now]
    if not 3 <= now - 1000 < 5:
        return started
    for router in started:
        router.lag += TICK_SECONDS * (router.rank in suspended)
    return [other for other in started if other.rank not in suspended]


@given(
    size=st.integers(2, 60),
    rate=st.floats(2, 40),
    suspended_share=st.floats(0, 0.5),
    late_share=st.floats(0, 0.5),
    seed=st.integers(0, 1000),
)
def test_cold_server_is_not_overloaded_by_late_or_suspended_routers(
    size: int,
    rate: float,
    suspended_share: float,
    late_share: float,
    seed: int,
) -> None:
    """Guards against routers whose turns fall on those of others.

    Steady clocks begin at any value, some machines are suspended for two
    seconds, and some routers start later than others.
    """
    source = random.Random(seed)
    routers = [
        Router(
            rank,
            1000 - source.uniform(0, 500)
            if source.random() > late_share
            else 1000 + source.uniform(0, 6),
        )
        for rank in range(size)
    ]
    suspended = {
        rank for rank in range(size) if source.random() < suspended_share
    }
    sent = send_times(routers, rate, suspended, 8)
    bound = rate * RATE_FACTOR + EXTRA_REQUESTS
    for first in set(sent):
        assert sum(first <= time < first + 1 for time in sent) <= bound


def test_routers_agree_within_the_delay_of_a_report() -> None:
    """Guards against an error of the common time that nothing bounds."""
    routers = [Router(rank, 1000 - 17.0 * rank) for rank in range(20)]
    send_times(routers, 10, set(), 3)
    times = [router.clock.now(router.monotonic(1003)) for router in routers]
    assert max(times) - min(times) <= REPORT_DELAY_SECONDS + TICK_SECONDS


def test_time_is_not_used_before_it_has_settled() -> None:
    """Guards against turns by a time that only this router has."""
    clock = FleetClock()
    assert clock.settled_time(10, 10) is None
    clock.observe(50, 11)
    assert clock.settled_time(11.5, 11.5) is None
    settled_at = 11 + SETTLE_SECONDS
    assert clock.settled_time(settled_at, settled_at) == pytest.approx(
        50 + SETTLE_SECONDS
    )
    assert clock.observe(200, 20) == pytest.approx(200 - 59)
    assert clock.settled_time(20.5, 20.5) is None


def test_late_reports_change_nothing() -> None:
    """Guards against a router that woke up and reads old reports."""
    clock = FleetClock()
    clock.observe(50, 10)
    clock.observe(20, 11.5)
    clock.observe(51.5 + LARGEST_DRIFT_SECONDS / 2, 11.5)
    settled = clock.settled_time(11.5, 11.5)
    assert settled is not None
    assert abs(settled - 51.5) <= LARGEST_DRIFT_SECONDS


def test_suspended_router_waits_for_a_report() -> None:
    """Guards against a machine that wakes up and uses a turn of the past."""
    clock = FleetClock()
    assert clock.settled_time(10, 110) is None
    clock.observe(50, 10)
    assert clock.settled_time(12, 112) is not None
    assert clock.settled_time(12.1, 115) is None
    clock.observe(55, 12.2)
    settled_at = 12.2 + SETTLE_SECONDS
    assert clock.settled_time(settled_at, settled_at + 102.9) is not None


@given(st.floats(allow_nan=True, allow_infinity=True))
def test_odd_times_keep_the_clock_usable(fleet_time: float) -> None:
    """Guards against a time that no router can compute with."""
    clock = FleetClock()
    clock.observe(50, 10)
    clock.observe(fleet_time, 11)
    assert 51 <= clock.now(11) <= LARGEST_TIME_SECONDS
