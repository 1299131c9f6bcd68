"""Error rates of the test that evaluates ordered moves."""

import random

import pytest

from pollenloom.core.ids import ResponseClass, RouteId, VersionId
from pollenloom.moves.change_test import ChangeTest
from pollenloom.moves.response_class import ResponsePhase, response_class

TO_VERSION = VersionId('v2')
ROUTE = RouteId('answers')
SEEDS = 200
# Share of the responses beyond three times the median: of a usual version, and
# of one that is several times slower.
USUAL_RATE = 0.06
SLOW_RATE = 0.6
# Responses of a trial at the smallest site.
TRIAL_RESPONSES = 150
# The old version serves ten times as many.
OLD_RESPONSES = 10
# Bad responses after which the operators allow five more seconds.
MOST_BAD_RESPONSES = 50


def run_trial(seed: int, rate: float, bad_from: int = 0) -> int | None:
    """Return the bad responses until the version was found bad, if it was."""
    generator = random.Random(seed)
    test = ChangeTest(TO_VERSION)
    counts: dict[ResponseClass, float] = {}
    bad_responses = 0
    for number in range(TRIAL_RESPONSES):
        for _ in range(OLD_RESPONSES):
            add(counts, is_new=False, is_bad=generator.random() < USUAL_RATE)
        new_rate = rate if number >= bad_from else USUAL_RATE
        is_bad = generator.random() < new_rate
        bad_responses += is_bad
        add(counts, is_new=True, is_bad=is_bad)
        test.observe(counts)
        if test.is_bad:
            return bad_responses
    return None


def add(
    counts: dict[ResponseClass, float], *, is_new: bool, is_bad: bool
) -> None:
    """Count one response."""
    name = response_class(
        TO_VERSION,
        ROUTE,
        ResponsePhase.FIRST_BYTE,
        is_new=is_new,
        is_bad=is_bad,
    )
    counts[name] = counts.get(name, 0) + 1


@pytest.mark.parametrize('bad_from', [0, 60])
def test_slow_version_is_found_before_50_bad_responses(bad_from: int) -> None:
    """Guards against a slow version that is kept (EXPOSURE)."""
    for seed in range(SEEDS):
        found_after = run_trial(seed, SLOW_RATE, bad_from)
        assert found_after is not None
        assert found_after < MOST_BAD_RESPONSES


def test_good_version_is_rarely_found_bad() -> None:
    """Guards against good versions that are taken back: 1 in 100 at most.

    Over 200 seeds that rate stays at 6 or fewer with 99.5% confidence.
    """
    found = [run_trial(seed, USUAL_RATE) for seed in range(SEEDS)]
    assert sum(result is not None for result in found) <= 6


def test_counts_of_a_stopped_router_are_not_counted_again() -> None:
    """Guards against evidence that doubles when a sum falls and rises."""
    test = ChangeTest(TO_VERSION)
    counts: dict[ResponseClass, float] = {}
    for _ in range(3):
        add(counts, is_new=True, is_bad=True)
    test.observe(counts)
    evidence = test.total
    test.observe({})
    test.observe(counts)
    assert test.total == pytest.approx(evidence)


def test_counts_of_another_move_are_ignored() -> None:
    """Guards against a verdict on an earlier version of the service."""
    counts: dict[ResponseClass, float] = {}
    for _ in range(40):
        add(counts, is_new=True, is_bad=True)
    test = ChangeTest(VersionId('v3'))
    test.observe(counts)
    assert not test.responses
    assert not test.is_suspect
