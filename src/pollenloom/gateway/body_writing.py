"""Writes messages with a body."""

import asyncio
from typing import Final

# One write costs less than the copy of a body up to this size.
COPIED_BODY_BYTES: Final = 65_536


def write_message(
    transport: asyncio.Transport, head: bytes, body: bytes | bytearray
) -> None:
    """Write a head and a body; a large body is not copied for that.

    The transport may keep `body` until it is sent, so it must not change after.
    """
    if len(body) > COPIED_BODY_BYTES:
        transport.writelines((head, body))
    else:
        transport.write(head + body)
