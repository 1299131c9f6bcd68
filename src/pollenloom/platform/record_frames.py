"""Binary format of the records of a keyed topic."""

import struct
from collections.abc import Iterator
from typing import Final

from expression import Error, Ok, Result

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset

# End offset of the partition and offset of its first retained record.
PAGE_HEAD: Final = struct.Struct('>QQ')
LENGTH: Final = struct.Struct('>I')
KEY_LENGTH_BYTES: Final = 1


def encode_record(key: str, payload: bytes) -> bytes:
    """Return a record: content length, then key length, key and value."""
    name = key.encode()
    content = bytes((len(name),)) + name + payload
    return LENGTH.pack(len(content)) + content


def decode_page(body: bytes, start: Offset) -> Result[Listing, Failure]:
    """Decode the response to a read from `start`.

    If records from `start` on are no longer retained, the listing is a gap.

    Errors:
        PLATFORM_UNAVAILABLE: The response is truncated.
    """
    try:
        _, first = PAGE_HEAD.unpack_from(body)
        contents = tuple(split_records(body))
    except struct.error as error:
        detail = f'log-read: truncated response: {error}'
        return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
    if first > start:
        return Ok(Listing((), start, is_gap=True))
    records = tuple(
        read_record(content, Offset(start + index))
        for index, content in enumerate(contents)
    )
    return Ok(Listing(records, Offset(start + len(contents))))


def split_records(body: bytes) -> Iterator[bytes]:
    """Yield the content of each record of a response.

    Raises:
        struct.error: If the response ends within a record.
    """
    position = PAGE_HEAD.size
    while position < len(body):
        length = LENGTH.unpack_from(body, position)[0]
        position += LENGTH.size
        if position + length > len(body):
            raise struct.error('the last record is incomplete')
        yield body[position : position + length]
        position += length


def read_record(content: bytes, offset: Offset) -> KeyedRecord:
    """Return the key and value of a record.

    If the key length exceeds the content, the key is empty and the whole
    content is the value. Invalid UTF-8 in a key is replaced.
    """
    if not content or len(content) <= content[0]:
        return KeyedRecord('', content, offset)
    split = KEY_LENGTH_BYTES + content[0]
    name = content[KEY_LENGTH_BYTES:split].decode(errors='replace')
    return KeyedRecord(name, content[split:], offset)
