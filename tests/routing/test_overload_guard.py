"""Overload by the delays of the event loop."""

import pytest

from pollenloom.routing.overload_guard import (
    OVERLOADED_SECONDS,
    SWAMPED_SECONDS,
    OverloadGuard,
)

TICKS = 40


@pytest.fixture
def guard() -> OverloadGuard:
    """A guard of a router that has just started."""
    return OverloadGuard()


def test_single_delay_is_no_overload(guard: OverloadGuard) -> None:
    """Guards against a router that leaves for one slow piece of work."""
    assert not guard.observe(OVERLOADED_SECONDS * 4)
    assert not guard.is_overloaded


def test_lasting_delays_are_overload(guard: OverloadGuard) -> None:
    """Guards against callers who wait at a machine that has no time."""
    changes = sum(guard.observe(OVERLOADED_SECONDS * 2) for _ in range(TICKS))
    assert changes == 1
    assert guard.is_overloaded
    assert not guard.is_swamped


def test_router_comes_back_once(guard: OverloadGuard) -> None:
    """Guards against a readiness that flaps around the bound."""
    for _ in range(TICKS):
        guard.observe(OVERLOADED_SECONDS * 2)
    assert not any(
        guard.observe(OVERLOADED_SECONDS * 0.8) for _ in range(TICKS)
    )
    assert sum(guard.observe(0) for _ in range(TICKS)) == 1
    assert not guard.is_overloaded


def test_long_delays_swamp_a_router(guard: OverloadGuard) -> None:
    """Guards against requests that are taken but cannot be served."""
    for _ in range(TICKS):
        guard.observe(SWAMPED_SECONDS * 1.5)
    assert guard.is_swamped
