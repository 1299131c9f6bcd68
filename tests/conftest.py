"""Fixtures shared by all tests."""

import pytest
from hypothesis import settings

from tests.manual_clock import ManualClock

# Fixed seeds: CI always gives the same verdict.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()
