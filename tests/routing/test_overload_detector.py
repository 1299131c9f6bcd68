"""Tests of overload detection by delays of the event loop."""

import pytest

from pollenloom.routing.overload_detector import (
    OVERLOADED_SECONDS,
    SEVERE_OVERLOAD_SECONDS,
    OverloadDetector,
)

TICKS = 40


@pytest.fixture
def detector() -> OverloadDetector:
    """A detector without any delays yet."""
    return OverloadDetector()


def test_single_delay_is_no_overload(detector: OverloadDetector) -> None:
    """Guards against a router that is unready after one slow step."""
    assert not detector.observe(OVERLOADED_SECONDS * 4)
    assert not detector.is_overloaded


def test_lasting_delays_are_overload(detector: OverloadDetector) -> None:
    """Guards against callers that wait at an overloaded router."""
    changes = sum(
        detector.observe(OVERLOADED_SECONDS * 2) for _ in range(TICKS)
    )
    assert changes == 1
    assert detector.is_overloaded
    assert not detector.is_severely_overloaded


def test_router_recovers_once(detector: OverloadDetector) -> None:
    """Guards against readiness that flaps around the threshold."""
    for _ in range(TICKS):
        detector.observe(OVERLOADED_SECONDS * 2)
    assert not any(
        detector.observe(OVERLOADED_SECONDS * 0.8) for _ in range(TICKS)
    )
    assert sum(detector.observe(0) for _ in range(TICKS)) == 1
    assert not detector.is_overloaded


def test_long_delays_are_severe_overload(detector: OverloadDetector) -> None:
    """Guards against requests that are accepted but cannot be served."""
    for _ in range(TICKS):
        detector.observe(SEVERE_OVERLOAD_SECONDS * 1.5)
    assert detector.is_severely_overloaded
