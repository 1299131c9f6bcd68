"""Messages that only tests send."""

from enum import Enum, unique

import msgspec

from pollenloom.peers.peer_message import PeerMessage


@unique
class Colour(Enum):
    """Enum inside a message."""

    RED = 'red'
    BLUE = 'blue'


class Leaf(msgspec.Struct, frozen=True):
    """Struct inside a message."""

    digest: bytes
    colour: Colour


class Bouquet(PeerMessage, frozen=True):
    """Message with every kind of field that services use."""

    number: int
    weight: float
    text: str
    body: bytes
    colour: Colour
    leaves: tuple[Leaf, ...]
    counts: dict[str, int]
    extra: Leaf | None = None


class Ping(PeerMessage, frozen=True):
    """Small message."""

    number: int


class Pong(PeerMessage, frozen=True):
    """Reply to a ping."""

    number: int


class Unregistered(PeerMessage, frozen=True):
    """Message that no codec knows."""

    number: int
