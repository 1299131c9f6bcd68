"""What a client and a server saw in a conversation."""

from dataclasses import dataclass, field
from typing import NewType

WireRequestId = NewType('WireRequestId', str)


@dataclass(frozen=True, slots=True)
class SeenRequest:
    """Request that a server received."""

    method: str
    path: str
    request_id: str
    body: bytes


@dataclass(slots=True)
class SeenAnswer:
    """Answer that a client received.

    Attributes:
        status: Status; 0 if the connection ended before a head.
        is_complete: Whether it ended as its framing requires.
    """

    status: int = 0
    body: bytes = b''
    is_complete: bool = False


@dataclass(slots=True)
class Observation:
    """What was seen in one conversation.

    Attributes:
        sent: The request as its client sent it.
        received: Requests that the server received.
        answer: Answer to the request.
        follower: Answer to a sound request that followed on the connection;
            None if none followed.
        waited_seconds: Longest time of a sound request of another client.
        peak_megabytes: Largest resident memory of the router.
        is_running: Whether the router runs on.
    """

    sent: SeenRequest
    received: list[SeenRequest] = field(default_factory=list)
    answer: SeenAnswer = field(default_factory=SeenAnswer)
    follower: SeenAnswer | None = None
    waited_seconds: float = 0
    peak_megabytes: float = 0
    is_running: bool = True
