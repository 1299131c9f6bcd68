"""Fixtures of this package, shared with other packages."""

from tests.operations.fleet_fixtures import fleet, operator, routers
from tests.operations.loop_factories import pytest_asyncio_loop_factories

__all__ = ('fleet', 'operator', 'pytest_asyncio_loop_factories', 'routers')
