"""Fixtures shared by all tests."""

import pytest
from hypothesis import settings

from tests.loop_factories import pytest_asyncio_loop_factories
from tests.manual_clock import ManualClock

__all__ = ('clock', 'pytest_asyncio_loop_factories')

# Fixed seeds: CI always gives the same verdict.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()
