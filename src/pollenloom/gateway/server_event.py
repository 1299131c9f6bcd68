"""What comes from a backend server on a connection."""

from dataclasses import dataclass
from enum import Enum, unique

from pollenloom.gateway.headers import Header


@unique
class ChannelEnd(Enum):
    """How the reading of an answer ended."""

    COMPLETE = 'complete'
    CLOSED = 'closed'
    RESET = 'reset'
    GARBLED = 'garbled'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer.

    Attributes:
        is_framed: Whether the answer tells its own end.
    """

    status: int
    headers: tuple[Header, ...]
    is_framed: bool


ServerEvent = ResponseHead | bytes | ChannelEnd
