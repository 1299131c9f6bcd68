"""Messages by which registers spread."""

import msgspec

from pollenloom.membership.register_value import RegisterValue
from pollenloom.peers.peer_message import PeerMessage


class RegisterVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version of one register, without its value.

    Attributes:
        key: Key of the register.
        counter: Compared first.
        origin: Breaks ties between equal counters.
    """

    key: str
    counter: int
    origin: str


class KeyedRegister(msgspec.Struct, frozen=True, array_like=True):
    """A register with its value."""

    key: str
    register: RegisterValue


class RegisterDigest(PeerMessage, frozen=True):
    """Asks for an offer of all registers unless they hash to the same.

    Attributes:
        digest: Hash of all versions of the sender.
    """

    digest: int


class RegisterOffer(PeerMessage, frozen=True):
    """Tells which versions the sender has.

    Attributes:
        versions: Versions that changed, or all.
        is_complete: Whether these are all registers of the sender.
    """

    versions: tuple[RegisterVersion, ...]
    is_complete: bool = False


class RegisterFetch(PeerMessage, frozen=True):
    """Request for values."""

    keys: tuple[str, ...]


class RegisterValues(PeerMessage, frozen=True):
    """Reply with as many of the values as fit; the rest is fetched again."""

    registers: tuple[KeyedRegister, ...]
