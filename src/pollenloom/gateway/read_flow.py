"""Reads from a connection in turns with other connections and tasks."""

import asyncio
from collections.abc import Callable
from typing import Final

# A read has up to 256 KiB, and the event loop makes up to 32 of them at once.
# After one of this size the others get their turns first.
LONG_READ_BYTES: Final = 65_536


class ReadFlow:
    """Pauses reading after long reads, and while there is no room.

    Attributes:
        transport: Transport of the connection.
        has_room: Returns whether more may be read.
        is_blocked: Whether reading has stopped until there is room.
    """

    def __init__(
        self, transport: asyncio.Transport, has_room: Callable[[], bool]
    ) -> None:
        self.transport = transport
        self.has_room = has_room
        self.is_blocked = False

    def after_read(self, size: int) -> None:
        """Pause after a read of `size` bytes if needed."""
        if self.transport.is_closing():
            return
        if not self.has_room():
            self.is_blocked = True
            self.transport.pause_reading()
        elif size >= LONG_READ_BYTES:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self.resume)

    def resume(self) -> None:
        """Read on if there is room."""
        if self.transport.is_closing() or self.transport.is_reading():
            return
        self.is_blocked = not self.has_room()
        if not self.is_blocked:
            self.transport.resume_reading()
