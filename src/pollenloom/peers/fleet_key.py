"""Authentication of routers by a key that the fleet shares."""

import hashlib
import hmac
from enum import Enum, unique
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path

    from pollenloom.peers.peer_identity import PeerIdentity

# 128 bits. A shorter key could be found by brute force from a recorded
# handshake.
MIN_KEY_BYTES = 16


@unique
class ProofSide(Enum):
    """Side of a connection that makes a proof.

    A proof covers its side, so that it cannot be reflected to its sender.
    """

    CONNECTING = b'connecting'
    ACCEPTING = b'accepting'


class FleetKey:
    """Secret that all routers of a fleet share."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < MIN_KEY_BYTES:
            raise ValueError(
                f'the fleet key is shorter than {MIN_KEY_BYTES} bytes'
            )
        self.secret = secret

    @classmethod
    def from_file(cls, path: 'Path') -> 'FleetKey':
        """Read the key; surrounding white space is removed.

        Raises:
            OSError: If the file cannot be read.
            ValueError: If the key is too short.
        """
        return cls(path.read_bytes().strip())

    def prove(
        self,
        side: ProofSide,
        challenge: bytes,
        local_nonce: bytes,
        identity: 'PeerIdentity',
    ) -> bytes:
        """Return the HMAC-SHA256 that proves knowledge of the key.

        Args:
            side: Side that makes the proof.
            challenge: Nonce of the other side.
            local_nonce: Nonce of the side that makes the proof.
            identity: Router that makes the proof.
        """
        covered = msgspec.msgpack.encode(
            (side.value, challenge, local_nonce, identity),
        )
        return hmac.digest(self.secret, covered, hashlib.sha256)

    def verifies(
        self,
        proof: bytes,
        side: ProofSide,
        challenge: bytes,
        remote_nonce: bytes,
        identity: 'PeerIdentity',
    ) -> bool:
        """Whether a proof was made with this key; compares in constant time.

        Args:
            proof: Proof that the other side sent.
            side: Side that made the proof.
            challenge: Nonce of this side.
            remote_nonce: Nonce of the side that made the proof.
            identity: Router that claims to have made the proof.
        """
        expected = self.prove(side, challenge, remote_nonce, identity)
        return hmac.compare_digest(expected, proof)
