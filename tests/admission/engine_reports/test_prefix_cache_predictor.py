"""Prediction of an engine's prefix cache by the owner of its pool."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.admission.engine_reports.cache_event import (
    CacheEvent,
    CacheEventKind,
    CacheEventPage,
)
from pollenloom.admission.engine_reports.prefix_cache_predictor import (
    GAP_RECOVERY_SECONDS,
    PREDICTION_VALIDITY_SECONDS,
    PrefixCachePredictor,
)
from pollenloom_standins.engine.cache_events import CacheEventLog
from pollenloom_standins.engine.prefix_cache import PrefixCache

LIMIT = 8
HASHES = st.lists(st.integers(0, 40), max_size=20).map(tuple)
EVENTS = st.lists(
    st.builds(
        CacheEvent,
        sequence=st.integers(0, 30),
        kind=st.sampled_from(CacheEventKind),
        hashes=HASHES,
    ),
    max_size=30,
)


@pytest.fixture
def predictor() -> PrefixCachePredictor:
    return PrefixCachePredictor(LIMIT)


def stored(sequence: int, *hashes: int) -> CacheEvent:
    return CacheEvent(
        sequence=sequence,
        kind=CacheEventKind.STORED,
        hashes=hashes,
    )


@given(events=EVENTS, granted=st.lists(HASHES, max_size=10))
def test_memory_is_bounded(
    events: list[CacheEvent],
    granted: list[tuple[int, ...]],
) -> None:
    """Guards against unbounded memory, with grants and disordered events."""
    predictor = PrefixCachePredictor(LIMIT)
    for now, event in enumerate(events):
        predictor.observe(event, now)
        assert len(predictor.predictions) <= LIMIT
    for prefixes in granted:
        predictor.predict(prefixes, len(events))
        assert len(predictor.predictions) <= LIMIT


@given(
    events=EVENTS,
    granted=HASHES,
    evicted=HASHES,
    skipped=st.integers(0, 3),
)
def test_eviction_ends_prediction(
    events: list[CacheEvent],
    granted: tuple[int, ...],
    evicted: tuple[int, ...],
    skipped: int,
) -> None:
    """Guards against predicting a prefix after its eviction event."""
    predictor = PrefixCachePredictor(LIMIT)
    for event in events:
        predictor.observe(event, 0)
    predictor.predict(granted, 1)
    eviction = CacheEvent(
        sequence=predictor.next_sequence + skipped,
        kind=CacheEventKind.EVICTED,
        hashes=evicted,
    )
    predictor.observe(eviction, 1)
    assert not any(predictor.is_cached(prefix, 1) for prefix in evicted)


@given(events=EVENTS, granted=HASHES)
def test_restart_clears(
    events: list[CacheEvent],
    granted: tuple[int, ...],
) -> None:
    """Guards against predictions that outlive a restart of the engine."""
    predictor = PrefixCachePredictor(LIMIT)
    predictor.observe(stored(31, 1), 0)
    for event in events:
        predictor.observe(event, 0)
    predictor.predict(granted, 1)
    predictor.apply_page(CacheEventPage(events=(), next=0), 1)
    assert not predictor.predictions
    assert predictor.next_sequence == 0


def test_gap_ends_old_predictions(predictor: PrefixCachePredictor) -> None:
    """Guards against predictions that outlive a lost eviction event."""
    predictor.observe(stored(0, 1, 2), 0)
    predictor.observe(stored(5, 3), 1)
    predictor.predict((2,), 2)
    predictor.expire(1 + GAP_RECOVERY_SECONDS)
    assert set(predictor.predictions) == {2, 3}


def test_gap_at_the_end_of_a_page(predictor: PrefixCachePredictor) -> None:
    """Guards against a lost eviction event that no later event reveals."""
    predictor.observe(stored(0, 1), 0)
    predictor.apply_page(CacheEventPage(events=(), next=4), 1)
    predictor.expire(1 + GAP_RECOVERY_SECONDS)
    assert not predictor.predictions
    assert predictor.next_sequence == 4


def test_unconfirmed_prediction_expires(
    predictor: PrefixCachePredictor,
) -> None:
    """Guards against predicting the prompt of a request that never ran."""
    predictor.predict((1, 2), 0)
    # Without events from the engine, unconfirmed predictions count.
    assert predictor.cached_fraction((1, 2), PREDICTION_VALIDITY_SECONDS) == 1
    predictor.observe(stored(0, 1), 1)
    assert predictor.is_cached(1, PREDICTION_VALIDITY_SECONDS)
    assert not predictor.is_cached(2, PREDICTION_VALIDITY_SECONDS)


def test_predictions_match_the_cache_of_an_engine() -> None:
    """Guards against predictions that drift although no event is lost."""
    random_source = random.Random(3)
    cache = PrefixCache(LIMIT)
    log = CacheEventLog(lag_seconds=0, lost_fraction=0)
    # A stored event comes before the evictions that make room for it.
    predictor = PrefixCachePredictor(2 * LIMIT)
    for now in range(200):
        first = random_source.randrange(10)
        log.add(cache.store((first, first + 100)), now)
        page = log.page(predictor.next_sequence, now)
        events = tuple(
            CacheEvent(
                sequence=event.sequence,
                kind=CacheEventKind(event.kind.value),
                hashes=event.hashes,
            )
            for event in page.events
        )
        predictor.apply_page(CacheEventPage(events=events, next=page.next), now)
        assert set(predictor.predictions) == set(cache.hashes)
