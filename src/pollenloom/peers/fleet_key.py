"""Proof that a router belongs to the fleet."""

import hashlib
import hmac
from enum import Enum, unique
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path

    from pollenloom.peers.peer_identity import PeerIdentity

# 128 bits; a shorter key could be guessed from a recorded handshake.
MIN_KEY_BYTES = 16


@unique
class ProofSide(Enum):
    """Side of a connection; keeps a proof from being sent back as one."""

    CONNECTING = b'connecting'
    ACCEPTING = b'accepting'


class FleetKey:
    """The secret that all routers of a fleet share."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < MIN_KEY_BYTES:
            raise ValueError(f'the fleet key has under {MIN_KEY_BYTES} bytes')
        self.secret = secret

    @classmethod
    def from_file(cls, path: 'Path') -> 'FleetKey':
        """Read the key; white space around it does not count."""
        return cls(path.read_bytes().strip())

    def prove(
        self,
        side: ProofSide,
        challenge: bytes,
        own_nonce: bytes,
        identity: 'PeerIdentity',
    ) -> bytes:
        """Return the HMAC-SHA256 that proves knowledge of the key."""
        covered = msgspec.msgpack.encode(
            (side.value, challenge, own_nonce, identity),
        )
        return hmac.digest(self.secret, covered, hashlib.sha256)

    def verifies(
        self,
        proof: bytes,
        side: ProofSide,
        challenge: bytes,
        other_nonce: bytes,
        identity: 'PeerIdentity',
    ) -> bool:
        """Whether the proof was made with this key; constant time."""
        expected = self.prove(side, challenge, other_nonce, identity)
        return hmac.compare_digest(expected, proof)
