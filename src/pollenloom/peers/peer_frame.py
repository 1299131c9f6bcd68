"""Content of one websocket frame between routers."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.peers.peer_message import PeerMessage


@unique
class FrameKind(Enum):
    """Role of a message in an exchange."""

    MESSAGE = 0
    REQUEST = 1
    REPLY = 2


@dataclass(frozen=True, slots=True)
class PeerFrame:
    """A message with its role.

    Attributes:
        kind: Role of the message.
        correlation: Number by which the requester matches the reply to its
            request; 0 for other messages.
        message: The message.
    """

    kind: FrameKind
    correlation: int
    message: 'PeerMessage'


class FrameError(Exception):
    """A frame that does not decode to a registered message."""


class UnknownMessageError(FrameError):
    """A frame whose message type is not registered."""
