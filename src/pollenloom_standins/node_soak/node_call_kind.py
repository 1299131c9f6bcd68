"""Kinds of calls of a node soak."""

from enum import Enum, unique


@unique
class NodeCallKind(Enum):
    """Routes of the round's configuration; the value is the path prefix."""

    READ = '/read/'
    ORDER = '/order/'
    STREAM = '/stream/'
    RESUME = '/resume/'

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in {NodeCallKind.STREAM, NodeCallKind.RESUME}

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in {NodeCallKind.READ, NodeCallKind.RESUME}
