"""Codec for the payload of the registers `log_position/<data centre>`."""

import cbor2
import msgspec

from pollenloom.core.ids import Offset, VmId
from pollenloom.validation.untrusted_bytes import decode_cbor


class LogPosition(msgspec.Struct, frozen=True, kw_only=True):
    """Position up to which a log reader of the data centre has read the log.

    Attributes:
        reader: VM that has read the log.
        position: Offset that it reads next.
    """

    reader: VmId
    position: Offset


def encode_position(position: LogPosition) -> bytes:
    """Return the payload of the register."""
    return cbor2.dumps(msgspec.to_builtins(position))


def decode_position(payload: bytes) -> LogPosition:
    """Return the position in a register.

    Raises:
        ValueError: If the payload is not a valid position.
    """
    decoded = decode_cbor(payload, LogPosition)
    if decoded.is_error():
        raise ValueError(f'invalid log position: {decoded.error.detail}')
    position: LogPosition = decoded.ok
    return position
