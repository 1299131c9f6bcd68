"""Events that a connection to a backend server produces."""

from dataclasses import dataclass
from enum import Enum, unique

from pollenloom.gateway.headers import Header


@unique
class ChannelEnd(Enum):
    """How reading a response ended."""

    COMPLETE = 'complete'
    # The server closed the connection before the end of the response.
    CLOSED = 'closed'
    RESET = 'reset'
    # The response does not mark its end, and the server has not received the
    # whole request.
    REQUEST_UNREAD = 'closed before the request was received'
    # The bytes cannot be parsed.
    MALFORMED = 'garbled'
    SILENT = 'silent'
    # The router closed a response that is longer than any may be.
    TOO_LONG = 'closed as its response was too long'
    # The status is none of an answer.
    STATUS_INVALID = 'used for an invalid status'
    SWITCHED = 'switched to another protocol'
    INTERIM_BODY = 'used for an interim response with a body'
    # The server has ended, or does not show that it runs.
    SERVER_LOST = 'lost with its server'
    # The body has bytes of another response.
    MIXED = 'used for another response'


@unique
class CloseCause(Enum):
    """Why a connection to a server was closed."""

    # It was not closed.
    NONE = 'none'
    # By this router.
    ROUTER = 'router'
    # By the server, as the end of a response that does not mark its own, or
    # behind one that announced it (`Connection: close`).
    RESPONSE_END = 'response end'
    # By the server, for any other reason.
    SERVER = 'server'


@unique
class UnrequestedBytes(Enum):
    """Where bytes arrived that answer no request in progress."""

    IDLE = 'idle'
    # In the same packet as the end of a response.
    BEHIND = 'behind'
    # Before the response that was expected.
    BEFORE = 'before'


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        is_framed: Whether the response marks its own end, so that it does not
            end with the connection.
    """

    status: int
    headers: tuple[Header, ...]
    is_framed: bool


ServerEvent = ResponseHead | bytes | ChannelEnd
