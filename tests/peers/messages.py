"""Messages for tests of the peer network."""

from enum import Enum, unique

import msgspec

from pollenloom.peers.peer_message import PeerMessage


@unique
class Colour(Enum):
    """Enumeration within a message."""

    RED = 'red'
    BLUE = 'blue'


class Leaf(msgspec.Struct, frozen=True):
    """Struct within a message."""

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
    """Request with a number."""

    number: int


class Pong(PeerMessage, frozen=True):
    """Reply to `Ping` with the same number."""

    number: int


class Unregistered(PeerMessage, frozen=True):
    """Message whose type no codec registers."""

    number: int
