"""Messages that replicate registers."""

import msgspec

from pollenloom.membership.register_value import RegisterValue
from pollenloom.peers.peer_message import PeerMessage


class RegisterVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version of one register, without its value.

    Attributes:
        key: Key of the register.
        counter: Compared first; the higher one is newer.
        origin: Breaks ties between equal counters.
    """

    key: str
    counter: int
    origin: str


class KeyedRegister(msgspec.Struct, frozen=True, array_like=True):
    """A register with its key.

    Attributes:
        key: Key of the register.
        register: Value with its version.
    """

    key: str
    register: RegisterValue


class RegisterDigest(PeerMessage, frozen=True):
    """Request for an offer of all registers, unless the digests are equal.

    Attributes:
        digest: Hash of all versions that the sender has.
    """

    digest: int


class RegisterOffer(PeerMessage, frozen=True):
    """Announcement of versions that the sender has.

    Attributes:
        versions: Changed versions, or all versions.
        is_complete: Whether these are all registers of the sender.
    """

    versions: tuple[RegisterVersion, ...]
    is_complete: bool = False


class RegisterFetch(PeerMessage, frozen=True):
    """Request for the values of these keys."""

    keys: tuple[str, ...]


class RegisterValues(PeerMessage, frozen=True):
    """Reply with as many values as fit into a frame.

    The requesting router sends another request for the rest.
    """

    registers: tuple[KeyedRegister, ...]
