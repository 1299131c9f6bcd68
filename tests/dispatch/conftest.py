"""Fixtures shared by the tests of dispatch."""

from tests.fakes.fixtures import router

__all__ = ('router',)
