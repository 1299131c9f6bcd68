"""Rate limit on log lines of one kind."""

from pollenloom.observability.line_budget import LineBudget


def test_lines_of_a_second_are_bounded() -> None:
    """Guards against a router that spends its time on log lines."""
    budget = LineBudget(lines_per_second=3)
    written = [budget.may_write(10 + step / 100) for step in range(10)]
    assert sum(written) == 3
    assert budget.take_dropped() == 7
    assert budget.take_dropped() == 0
    assert budget.may_write(11)
