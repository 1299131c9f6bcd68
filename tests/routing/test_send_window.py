"""Tests of the window of unread prompt tokens at one server."""

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.routing.send_window import (
    INITIAL_WINDOW_TOKENS,
    MAX_WINDOW_TOKENS,
    MIN_WINDOW_TOKENS,
    SendWindow,
)


def test_prompt_is_sent_whatever_its_size() -> None:
    """Guards against a large prompt that is never sent."""
    window = SendWindow()
    window.sent(INITIAL_WINDOW_TOKENS / 2)
    assert window.has_room(0)
    window.sent(10 * MAX_WINDOW_TOKENS)
    assert not window.has_room(0)


def test_queue_of_other_routers_counts() -> None:
    """Guards against routers that each fill the queue of the same server."""
    window = SendWindow()
    assert window.has_room(INITIAL_WINDOW_TOKENS - 1)
    assert not window.has_room(INITIAL_WINDOW_TOKENS)


def test_late_first_byte_shrinks_the_window_once() -> None:
    """Guards against one queue that decreases the limit many times."""
    window = SendWindow()
    window.observe(1, 100, 0.4, 10)
    window.observe(1, 100, 0.4, 10.01)
    assert window.limit < INITIAL_WINDOW_TOKENS
    assert window.limit > INITIAL_WINDOW_TOKENS / 2


@given(st.lists(st.tuples(st.floats(0, 5), st.floats(0, 1e5))))
def test_limit_stays_in_its_range(steps: list[tuple[float, float]]) -> None:
    """Guards against a window that closes or grows without limit."""
    window = SendWindow()
    for number, (first_byte_seconds, cost) in enumerate(steps):
        window.sent(cost)
        window.observe(first_byte_seconds, cost, 0.4, number)
        window.released(cost)
        assert MIN_WINDOW_TOKENS <= window.limit <= MAX_WINDOW_TOKENS
        assert window.outstanding >= 0
