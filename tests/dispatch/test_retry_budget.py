"""The limit on retries."""

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
def test_retries_are_bounded_in_every_window(
    taken: list[tuple[float, bool]],
) -> None:
    """Guards against a failing fleet that is flooded by retries."""
    budget = RetryBudget()
    now = 1000.0
    requests: list[float] = []
    retries: list[float] = []
    for pause, is_request in taken:
        now += pause
        if is_request:
            budget.count_request(now)
            requests.append(now)
        elif budget.take(now):
            retries.append(now)
        recent = [at for at in requests if int(at) > int(now) - WINDOW]
        repeated = [at for at in retries if int(at) > int(now) - WINDOW]
        assert len(repeated) <= len(recent) / 10 + 10


def test_budget_recovers() -> None:
    """Guards against an incident that uses the budget up for ever."""
    budget = RetryBudget()
    assert sum(budget.take(5) for _ in range(30)) == 10
    assert not budget.take(5 + WINDOW - 1)
    assert budget.take(5 + WINDOW)
