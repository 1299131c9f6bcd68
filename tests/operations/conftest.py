"""Fixtures of this package, shared with other packages."""

from tests.operations.fleet_fixtures import fleet, operator, routers

__all__ = ('fleet', 'operator', 'routers')
