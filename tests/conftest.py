"""Fixtures shared by all tests."""

from pathlib import Path

import pytest
from hypothesis import settings

from tests.loop_factories import pytest_asyncio_loop_factories
from tests.manual_clock import ManualClock

__all__ = ('clock', 'fleet_key_file', 'pytest_asyncio_loop_factories')

# A fixed seed, so that CI has the same result for the same code.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')


@pytest.fixture
def clock() -> ManualClock:
    """Clock that only moves when the test advances it."""
    return ManualClock()


@pytest.fixture
def fleet_key_file(tmp_path: Path) -> Path:
    """File with the key that all routers of a test fleet share."""
    path = tmp_path / 'fleet.key'
    path.write_bytes(b'key of the fleet in tests')
    return path
