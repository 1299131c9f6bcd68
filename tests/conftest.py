"""Fixtures shared by all tests."""

from pathlib import Path

import pytest
from hypothesis import settings

from tests.loop_factories import pytest_asyncio_loop_factories
from tests.manual_clock import ManualClock

__all__ = ('clock', 'fleet_key_file', 'pytest_asyncio_loop_factories')

# Fixed seeds: CI always gives the same verdict.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def fleet_key_file(tmp_path: Path) -> Path:
    path = tmp_path / 'fleet.key'
    path.write_bytes(b'key of the fleet in tests')
    return path
