"""Limit on requests for cold servers."""

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.routing.cold_gate import ColdGate

COLD_RATE = 14.0
OVERAGE = 1.5
SLACK = 5


@given(
    routers=st.integers(1, 80),
    times=st.lists(st.floats(0, 3), min_size=1, max_size=120),
)
def test_sum_over_the_fleet_stays_within_the_bound(
    routers: int,
    times: list[float],
) -> None:
    """Guards against routers that together overload a cold server.

    All routers are offered requests at the same times and do not hear of
    each other; the bound holds in each second for up to five routers more
    than its slack by their first requests.
    """
    rate = COLD_RATE / routers
    gate = ColdGate(0)
    sent: list[float] = []
    for time in sorted(times):
        if gate.may_send(rate, time):
            gate.take()
            sent.append(time)
    for start in sent:
        in_second = [other for other in sent if start <= other < start + 1]
        assert len(in_second) <= rate + 1 + 1e-6


def test_gate_opens_again() -> None:
    """Guards against a cold server that gets nothing at all."""
    gate = ColdGate(0)
    assert gate.may_send(2, 0)
    gate.take()
    assert not gate.may_send(2, 0.4)
    assert gate.may_send(2, 0.5)
