"""The mix of short and long prompts."""

import pytest

from pollenloom.routing.prompt_mix import MEMORY_SECONDS, PromptMix
from pollenloom.routing.prompt_size import PromptSize

NOW = 10.0


def test_share_is_that_of_the_fleet() -> None:
    """Guards against routers that each split by their own requests."""
    mix = PromptMix()
    assert mix.short_share({}) == 0
    mix.charge(PromptSize.SHORT, 100, NOW)
    assert mix.short_share({PromptSize.LONG: 300}) == pytest.approx(0.25)


def test_older_requests_count_less() -> None:
    """Guards against a split by the traffic of an hour ago."""
    mix = PromptMix()
    mix.charge(PromptSize.SHORT, 1000, NOW)
    mix.charge(PromptSize.LONG, 100, NOW + 10 * MEMORY_SECONDS)
    assert mix.short_share({}) == pytest.approx(0, abs=0.01)
    told = mix.told(NOW + 10 * MEMORY_SECONDS)
    assert told[PromptSize.LONG] == 100
