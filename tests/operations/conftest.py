"""Fixtures of this package, imported so that other packages share them."""

from tests.operations.fleet_fixtures import fleet, operator, routers

__all__ = ('fleet', 'operator', 'routers')
