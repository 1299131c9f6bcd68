"""Encoding and decoding of messages between routers."""

from typing import Any

import cbor2
import msgspec

from pollenloom.peers.peer_frame import (
    FrameError,
    FrameKind,
    PeerFrame,
    UnknownMessageError,
)
from pollenloom.peers.peer_message import PeerMessage

FrameParts = tuple[FrameKind, int, list[Any]]
# CBOR encodes these types directly, without base64.
NATIVE_TYPES = (bytes,)


class PeerCodec:
    """Encodes frames as CBOR: `[kind, correlation, [tag, field, ...]]`.

    Only messages of registered types can be decoded.
    """

    def __init__(self, *message_types: type[PeerMessage]) -> None:
        self.types: dict[str, type[PeerMessage]] = {}
        for message_type in message_types:
            self.register(message_type)

    def register(self, message_type: type[PeerMessage]) -> None:
        """Add a message type; registering it again changes nothing.

        Raises:
            ValueError: If another type has the same tag.
        """
        tag = str(message_type.__struct_config__.tag)
        if self.types.setdefault(tag, message_type) is not message_type:
            raise ValueError(f'another message type has the tag {tag}')

    def encode(self, frame: PeerFrame) -> bytes:
        """Return the CBOR encoding of a frame."""
        return cbor2.dumps(
            [
                frame.kind.value,
                frame.correlation,
                msgspec.to_builtins(frame.message, builtin_types=NATIVE_TYPES),
            ]
        )

    def decode(self, encoded: bytes) -> PeerFrame:
        """Return the frame of its CBOR encoding.

        Raises:
            UnknownMessageError: If its message type is not registered.
            FrameError: If it is malformed in any other way.
        """
        try:
            parts = cbor2.loads(encoded)
        # The decoder raises errors of several unrelated types on invalid input.
        except Exception as error:
            raise FrameError(f'not CBOR: {error}') from error
        return self.parse_frame(parts)

    def parse_frame(self, parts: Any) -> PeerFrame:
        """Return the frame of decoded CBOR values; raises like `decode`."""
        try:
            kind, correlation, fields = msgspec.convert(parts, FrameParts)
            tag = str(fields[0])
        except (ValueError, TypeError, IndexError) as error:
            raise FrameError(f'invalid frame: {error}') from error
        message_type = self.types.get(tag)
        if message_type is None:
            raise UnknownMessageError(f'unknown message type {tag[:64]!r}')
        try:
            message = msgspec.convert(fields, message_type)
        except (ValueError, TypeError, RecursionError) as error:
            raise FrameError(f'invalid {tag}: {error}') from error
        return PeerFrame(kind, correlation, message)
