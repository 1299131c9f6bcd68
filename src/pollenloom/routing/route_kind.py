"""Kinds of routes."""

from enum import Enum, unique


@unique
class RouteKind(Enum):
    """Whether requests of a route are streams or may be repeated."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAMING = 'streaming'
