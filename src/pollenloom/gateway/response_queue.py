"""Events of one response between its connection and the request."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from pollenloom.gateway.response_buffers import (
    ResponseBuffers,
    ResponseHolder,
)
from pollenloom.gateway.server_event import (
    ChannelEnd,
    ResponseHead,
    ServerEvent,
)

# Bytes that are queued for a slow caller before reading pauses. One read more
# may follow, which has up to 256 KiB.
MAX_QUEUED_BYTES: Final = 65_536


class ResponseQueue(ResponseHolder):
    """Queues events and counts the bytes that are not yet passed on.

    Parts of the body are joined until they are taken, since a server may send
    very short ones: an object for each takes up to 28 times the memory of the
    bytes, and a task that takes them one by one keeps all others waiting.

    Attributes:
        buffers: Counts the bytes of all responses.
        events: Events that were not consumed yet.
        parts: Parts of the body in the current read, joined.
        queued_bytes: Bytes of the body in these events.
        end_connection: Closes the connection that the response arrives on.
        end_caller: Disconnects the caller if the whole response was written.
    """

    def __init__(
        self, buffers: ResponseBuffers, end_connection: Callable[[], None]
    ) -> None:
        self.buffers = buffers
        self.events: deque[ResponseHead | bytearray | ChannelEnd] = deque()
        self.parts = bytearray()
        self.queued_bytes = 0
        self.has_events = asyncio.Event()
        self.end_connection = end_connection
        self.end_caller: Callable[[], None] = do_nothing

    def has_room(self) -> bool:
        """Whether more may be read."""
        return self.queued_bytes <= MAX_QUEUED_BYTES

    def put(self, event: ResponseHead | ChannelEnd) -> None:
        """Queue an event behind the parts of the body; wake the task."""
        self.join_parts()
        self.events.append(event)
        self.has_events.set()

    def join_parts(self) -> None:
        """Queue the parts of a read, together with a body that waits."""
        size = len(self.parts)
        if not size:
            return
        last = self.events[-1] if self.events else None
        if isinstance(last, bytearray):
            last += self.parts
            self.parts.clear()
        else:
            self.events.append(self.parts)
            self.parts = bytearray()
        self.has_events.set()
        self.queued_bytes += size
        self.buffers.add(self, size)

    async def take(self) -> ServerEvent:
        """Wait for the next event and return it."""
        while not self.events:
            self.has_events.clear()
            await self.has_events.wait()
        event = self.events.popleft()
        if isinstance(event, bytearray):
            self.queued_bytes -= len(event)
            return bytes(event)
        return event

    def keep_only(self, size: int) -> None:
        """Report that all but the queued and `size` more bytes are passed on.

        The others were written to the caller.
        """
        passed_on = self.held_bytes - self.queued_bytes - size
        self.buffers.release(self, max(0, passed_on))

    def clear(self) -> None:
        """Drop what is left of the response."""
        self.events.clear()
        self.parts.clear()
        self.has_events.clear()
        self.queued_bytes = 0
        self.end_caller = do_nothing
        self.buffers.release(self, self.held_bytes)

    def discard_response(self) -> None:
        """End the response, since all responses take too much memory."""
        self.events.clear()
        self.queued_bytes = 0
        self.put(ChannelEnd.TOO_LONG)
        self.end_connection()
        self.end_caller()


def do_nothing() -> None:
    """Default for `end_caller`."""
