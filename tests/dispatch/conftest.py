"""Fixtures shared by the dispatch tests."""

from tests.fakes.fixtures import router

__all__ = ('router',)
