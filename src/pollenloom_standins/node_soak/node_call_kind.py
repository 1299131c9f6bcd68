"""Routes of a round's configuration."""

from enum import Enum, unique


@unique
class NodeCallKind(Enum):
    """Routes of the round's configuration; the value is the path."""

    READ = '/read/'
    ORDER = '/order/'
    STREAM = '/stream/'
    RESUME = '/resume/'

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in {NodeCallKind.STREAM, NodeCallKind.RESUME}

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self in {NodeCallKind.READ, NodeCallKind.RESUME}
