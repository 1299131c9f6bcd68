"""Failures of the engine's batching model and cache."""

import pytest

from pollenloom_standins.backend.capacity_model import (
    CapacityLimits,
    CapacityModel,
    ColdOverload,
    Verdict,
)
from pollenloom_standins.engine.cache_events import CacheEventLog
from pollenloom_standins.engine.prefix_cache import CacheChange, PrefixCache


def model(cold_overload: ColdOverload) -> CapacityModel:
    limits = CapacityLimits(
        slots=4,
        cold_slots=1,
        cold_seconds=10,
        full_at=8,
        cold_overload=cold_overload,
    )
    return CapacityModel(limits, now=100)


def test_load_slows_steeply_above_slots() -> None:
    """Guards against an engine that bears any load at the same pace."""
    capacity = model(ColdOverload.FAIL)
    factors = []
    for _ in range(8):
        capacity.begin(now=200)
        factors.append(capacity.slowdown(now=200))
    assert factors == sorted(factors)
    assert factors[3] == pytest.approx(1.5)
    assert factors[7] == pytest.approx(1.5 * 2**4)
    assert capacity.judge(now=200) is Verdict.FULL


def test_overload_prolongs_the_cold_start() -> None:
    """Guards against a cold start that ends whatever it is sent."""
    for overload, verdict in (
        (ColdOverload.FAIL, Verdict.FAIL),
        (ColdOverload.SLOW, Verdict.RUN),
    ):
        capacity = model(overload)
        capacity.begin(now=101)
        assert capacity.judge(now=109) is verdict
        capacity.begin(now=109)
        assert capacity.slowdown(now=109) == pytest.approx(1.25 * 20)
        assert capacity.is_cold(now=118)
        assert not capacity.is_cold(now=119)
        assert capacity.judge(now=119) is Verdict.RUN


def test_turning_cold_is_not_seen_in_the_past() -> None:
    """Guards against a lagging load report that knows of cold at once."""
    capacity = model(ColdOverload.FAIL)
    capacity.turn_cold(now=200)
    assert not capacity.is_cold(now=199)
    assert capacity.is_cold(now=200)


def test_cache_needs_all_shorter_prefixes() -> None:
    """Guards against hits on prefixes whose start was evicted."""
    cache = PrefixCache(blocks=3)
    cache.store((1, 2, 3))
    assert cache.cached_share((1, 2, 9, 10)) == pytest.approx(0.5)
    assert cache.store((1, 4)).evicted == (3,)
    assert cache.cached_share((1, 2, 3)) == pytest.approx(2 / 3)
    assert cache.cached_share(()) == 0


def test_lost_cache_events_leave_gaps() -> None:
    """Guards against gaps that readers cannot tell from quiet times."""
    log = CacheEventLog(lag_seconds=5, lost_fraction=0.5, seed=3)
    for number in range(40):
        log.add(CacheChange((number,), ()), now=number)
    page = log.page(0, now=30)
    numbers = [event.sequence for event in page.events]
    assert numbers == sorted(set(numbers))
    assert 0 < len(numbers) < 26
    assert max(numbers) <= 25
    assert page.next == numbers[-1] + 1
