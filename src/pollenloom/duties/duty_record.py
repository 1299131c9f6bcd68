"""Record of the holder of a duty in the store."""

import msgspec
from expression import Error, Ok, Result

from pollenloom.core.failure import Failure
from pollenloom.core.ids import FencingNumber, VmId
from pollenloom.validation.untrusted_bytes import decode_json


class DutyRecord(msgspec.Struct, frozen=True):
    """Latest write of the holder of a duty.

    Attributes:
        holder: Router that holds the duty.
        process: Random id of its process; a restarted one is another holder.
        number: Fencing number.
        sequence: Number of the write, unique for the process.
        notes: What a successor must know of the work that is done.
        is_released: Whether the holder has given the duty up; it makes no
            calls any more.
    """

    holder: VmId
    process: str
    number: FencingNumber
    sequence: int
    notes: str = ''
    is_released: bool = False


def encode_record(record: DutyRecord) -> bytes:
    """Return the payload of a record."""
    return msgspec.json.encode(record)


def decode_record(payload: bytes) -> Result[DutyRecord, Failure]:
    """Decode the payload of a record; PROTOCOL_ERROR if it is invalid."""
    decoded = decode_json(payload, DutyRecord)
    if decoded.is_error():
        return Error(decoded.error)
    return Ok(decoded.ok)
