"""Payload of the register `log_position/<data centre>`."""

import cbor2
import msgspec

from pollenloom.core.ids import Offset, VmId


class LogPosition(msgspec.Struct, frozen=True, kw_only=True):
    """How far a VM has read the log, told to its data centre."""

    reader: VmId
    position: Offset


def encode_position(position: LogPosition) -> bytes:
    """Return the payload."""
    return cbor2.dumps(msgspec.to_builtins(position))


def decode_position(payload: bytes) -> LogPosition:
    """Return the position.

    Raises:
        ValueError: If the payload is broken.
    """
    try:
        return msgspec.convert(cbor2.loads(payload), LogPosition)
    except (cbor2.CBORDecodeError, msgspec.MsgspecError) as error:
        raise ValueError(f'broken log position: {error}') from error
