"""Limit on retries in a sliding window."""

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.dispatch.retry_budget import RetryBudget

WINDOW = 60

steps = st.lists(
    st.tuples(
        st.sampled_from((0, 0.2, 1, 7, 45, 90)),
        st.booleans(),
    ),
    max_size=300,
)


@given(steps)
def test_retries_are_limited_in_every_window(
    steps_taken: list[tuple[float, bool]],
) -> None:
    """Guards against retries that overload a failing fleet."""
    budget = RetryBudget()
    now = 1000.0
    requests: list[float] = []
    retries: list[float] = []
    for pause, is_request in steps_taken:
        now += pause
        if is_request:
            budget.count_request(now)
            requests.append(now)
        elif budget.take(now):
            retries.append(now)
        recent_requests = [at for at in requests if int(at) > int(now) - WINDOW]
        recent_retries = [at for at in retries if int(at) > int(now) - WINDOW]
        assert len(recent_retries) <= len(recent_requests) / 10 + 10


def test_budget_recovers_after_the_window() -> None:
    """Guards against an incident that exhausts the budget permanently."""
    budget = RetryBudget()
    assert sum(budget.take(5) for _ in range(30)) == 10
    assert not budget.take(5 + WINDOW - 1)
    assert budget.take(5 + WINDOW)
