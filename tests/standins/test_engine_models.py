"""Tests of the engine's capacity model, prefix cache and cache events."""

import pytest

from pollenloom_standins.backend.capacity_model import (
    AdmissionDecision,
    CapacityLimits,
    CapacityModel,
    ColdOverload,
)
from pollenloom_standins.engine.cache_events import CacheEventLog
from pollenloom_standins.engine.prefix_cache import CacheChange, PrefixCache


def make_capacity(cold_overload: ColdOverload) -> CapacityModel:
    """Return a model with 4 slots and 1 cold slot, cold from 100 to 110 s."""
    limits = CapacityLimits(
        slots=4,
        cold_slots=1,
        cold_seconds=10,
        full_at=8,
        cold_overload=cold_overload,
    )
    return CapacityModel(limits, now=100)


def test_slowdown_grows_steeply_above_slots() -> None:
    """Guards against an engine whose speed does not depend on its load."""
    capacity = make_capacity(ColdOverload.FAIL)
    factors = []
    for _ in range(8):
        capacity.begin(now=200)
        factors.append(capacity.slowdown(now=200))
    assert factors == sorted(factors)
    assert factors[3] == pytest.approx(1.5)
    assert factors[7] == pytest.approx(1.5 * 2**4)
    assert capacity.decide(now=200) is AdmissionDecision.FULL


def test_overload_prolongs_the_cold_start() -> None:
    """Guards against a cold start that ends in time despite overload.

    A request beyond the cold slots has to restart the cold time.
    """
    for overload, decision in (
        (ColdOverload.FAIL, AdmissionDecision.FAIL),
        (ColdOverload.SLOW, AdmissionDecision.RUN),
    ):
        capacity = make_capacity(overload)
        capacity.begin(now=101)
        assert capacity.decide(now=109) is decision
        capacity.begin(now=109)
        assert capacity.slowdown(now=109) == pytest.approx(1.25 * 20)
        assert capacity.is_cold(now=118)
        assert not capacity.is_cold(now=119)
        assert capacity.decide(now=119) is AdmissionDecision.RUN


def test_cold_start_does_not_affect_earlier_times() -> None:
    """Guards against a lagging load report that shows a cold start at once.

    The report asks whether the engine was cold at an earlier time.
    """
    capacity = make_capacity(ColdOverload.FAIL)
    capacity.turn_cold(now=200)
    assert not capacity.is_cold(now=199)
    assert capacity.is_cold(now=200)


def test_cache_needs_all_shorter_prefixes() -> None:
    """Guards against hits on prefixes of which a shorter one was evicted."""
    cache = PrefixCache(blocks=3)
    cache.store((1, 2, 3))
    assert cache.cached_fraction((1, 2, 9, 10)) == pytest.approx(0.5)
    assert cache.store((1, 4)).evicted == (3,)
    assert cache.cached_fraction((1, 2, 3)) == pytest.approx(2 / 3)
    assert cache.cached_fraction(()) == 0


def test_lost_cache_events_leave_gaps() -> None:
    """Guards against lost events that readers cannot detect.

    Lost events have to leave gaps in the numbers of the events. Events younger
    than the lag are not returned yet.
    """
    log = CacheEventLog(lag_seconds=5, lost_fraction=0.5, seed=3)
    for number in range(40):
        log.add(CacheChange((number,), ()), now=number)
    page = log.page(0, now=30)
    numbers = [event.sequence for event in page.events]
    assert numbers == sorted(set(numbers))
    assert 0 < len(numbers) < 26
    assert max(numbers) <= 25
    assert page.next == numbers[-1] + 1
