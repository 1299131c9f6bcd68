"""Handshake messages, in the order in which they are sent."""

from pollenloom.peers.peer_identity import PeerIdentity
from pollenloom.peers.peer_message import PeerMessage

# Increased with each change of the frames that is not backward compatible.
PROTOCOL_VERSION = 1


class Challenge(PeerMessage, frozen=True):
    """First message of the accepting side.

    Attributes:
        version: Protocol version.
        nonce: Random bytes that the proof of the connecting side covers.
    """

    version: int
    nonce: bytes


class Hello(PeerMessage, frozen=True):
    """Response of the connecting side.

    Attributes:
        version: Protocol version.
        identity: Router that connects.
        nonce: Random bytes that the proof of the accepting side covers.
        proof: HMAC with the fleet key over both nonces and the identity.
    """

    version: int
    identity: PeerIdentity
    nonce: bytes
    proof: bytes


class Welcome(PeerMessage, frozen=True):
    """Last message of the handshake, from the accepting side.

    Attributes:
        identity: Router that accepts.
        proof: HMAC with the fleet key over both nonces and the identity.
    """

    identity: PeerIdentity
    proof: bytes
