"""What may be repeated of the requests of a route."""

from enum import Enum, unique


@unique
class RouteKind(Enum):
    """Kind of a route."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAMING = 'streaming'
