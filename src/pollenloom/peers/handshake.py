"""Handshake that opens a connection, for both sides."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import TypeVar

from expression import Error, Ok, Result
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.peers.fleet_key import FleetKey, ProofSide
from pollenloom.peers.handshake_messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Welcome,
)
from pollenloom.peers.peer_codec import PeerCodec
from pollenloom.peers.peer_frame import FrameError, FrameKind, PeerFrame
from pollenloom.peers.peer_identity import PeerIdentity
from pollenloom.peers.peer_message import PeerMessage

MessageT = TypeVar('MessageT', bound=PeerMessage)

NONCE_BYTES = 16
# Longer than a loaded router needs, shorter than the time after which the
# membership suspects it.
HANDSHAKE_TIMEOUT_SECONDS = 2


class Handshake:
    """Proves the fleet key to the other side and verifies its proof.

    Failures are PEER_TIMEOUT if the handshake is too slow or the connection
    closes, and PROTOCOL_ERROR if a message or proof is invalid.
    """

    def __init__(
        self,
        fleet_key: FleetKey,
        local_identity: Callable[[], PeerIdentity],
    ) -> None:
        self.fleet_key = fleet_key
        self.local_identity = local_identity
        self.codec = PeerCodec(Challenge, Hello, Welcome)

    async def connect(
        self,
        socket: Connection,
    ) -> Result[PeerIdentity, Failure]:
        """Run the connecting side; return the identity of the accepting one."""
        return await self.run_with_timeout(self.run_connecting_side, socket)

    async def accept(
        self,
        socket: Connection,
    ) -> Result[PeerIdentity, Failure]:
        """Run the accepting side; return the identity of the connecting one."""
        return await self.run_with_timeout(self.run_accepting_side, socket)

    async def run_connecting_side(self, socket: Connection) -> PeerIdentity:
        """Answer the challenge, then verify the proof of the other side."""
        challenge = await self.receive(socket, Challenge)
        check_version(challenge.version)
        identity = self.local_identity()
        nonce = secrets.token_bytes(NONCE_BYTES)
        proof = self.fleet_key.prove(
            ProofSide.CONNECTING,
            challenge.nonce,
            nonce,
            identity,
        )
        hello = Hello(PROTOCOL_VERSION, identity, nonce, proof)
        await self.send(socket, hello)
        welcome = await self.receive(socket, Welcome)
        if not self.fleet_key.verifies(
            welcome.proof,
            ProofSide.ACCEPTING,
            nonce,
            challenge.nonce,
            welcome.identity,
        ):
            raise FrameError('wrong fleet key')
        return welcome.identity

    async def run_accepting_side(self, socket: Connection) -> PeerIdentity:
        """Challenge the other side, verify its proof, then prove the key."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        await self.send(socket, Challenge(PROTOCOL_VERSION, nonce))
        hello = await self.receive(socket, Hello)
        check_version(hello.version)
        if not self.fleet_key.verifies(
            hello.proof,
            ProofSide.CONNECTING,
            nonce,
            hello.nonce,
            hello.identity,
        ):
            raise FrameError('wrong fleet key')
        identity = self.local_identity()
        proof = self.fleet_key.prove(
            ProofSide.ACCEPTING,
            hello.nonce,
            nonce,
            identity,
        )
        await self.send(socket, Welcome(identity, proof))
        return hello.identity

    async def run_with_timeout(
        self,
        side: Callable[[Connection], Awaitable[PeerIdentity]],
        socket: Connection,
    ) -> Result[PeerIdentity, Failure]:
        """Run one side with a timeout; convert its errors to failures."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                return Ok(await side(socket))
        except TimeoutError:
            return Error(
                Failure(
                    ErrorKind.PEER_TIMEOUT,
                    'handshake timed out',
                )
            )
        except ConnectionClosed as error:
            return Error(Failure(ErrorKind.PEER_TIMEOUT, str(error)))
        except FrameError as error:
            return Error(Failure(ErrorKind.PROTOCOL_ERROR, str(error)))

    async def send(self, socket: Connection, message: PeerMessage) -> None:
        """Send one message of the handshake."""
        frame = PeerFrame(FrameKind.MESSAGE, 0, message)
        await socket.send(self.codec.encode(frame))

    async def receive(
        self,
        socket: Connection,
        message_type: type[MessageT],
    ) -> MessageT:
        """Return the next message.

        Raises:
            FrameError: If it is malformed or of another type.
        """
        encoded = await socket.recv(decode=False)
        message = self.codec.decode(encoded).message
        if not isinstance(message, message_type):
            raise FrameError(f'expected message {message_type.__name__}')
        return message


def check_version(version: int) -> None:
    """Check that the other side uses the same protocol version.

    Raises:
        FrameError: If the versions differ.
    """
    if version != PROTOCOL_VERSION:
        raise FrameError(
            f'protocol version {version}, expected {PROTOCOL_VERSION}'
        )
