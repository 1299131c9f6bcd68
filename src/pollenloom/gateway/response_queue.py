"""Events of one response between its connection and the request."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from pollenloom.gateway.response_buffers import (
    ResponseBuffers,
    ResponseHolder,
)
from pollenloom.gateway.server_event import ChannelEnd, ServerEvent

# Events, and bytes of them, that are queued for a slow caller before reading
# pauses. One read more may follow, which has up to 256 KiB.
MAX_QUEUED_EVENTS: Final = 64
MAX_QUEUED_BYTES: Final = 262_144


class ResponseQueue(ResponseHolder):
    """Queues events and counts the bytes that are not yet passed on.

    Attributes:
        buffers: Counts the bytes of all responses.
        events: Events that were not consumed yet.
        queued_bytes: Bytes of the body in these events.
        end_connection: Closes the connection that the response arrives on.
        end_caller: Disconnects the caller if the whole response was written.
    """

    def __init__(
        self, buffers: ResponseBuffers, end_connection: Callable[[], None]
    ) -> None:
        self.buffers = buffers
        self.events: deque[ServerEvent] = deque()
        self.queued_bytes = 0
        self.has_events = asyncio.Event()
        self.end_connection = end_connection
        self.end_caller: Callable[[], None] = do_nothing

    @property
    def is_full(self) -> bool:
        """Whether reading pauses until events are consumed."""
        return (
            len(self.events) > MAX_QUEUED_EVENTS
            or self.queued_bytes > MAX_QUEUED_BYTES
        )

    def put(self, event: ServerEvent) -> None:
        """Queue an event and wake the waiting task."""
        self.events.append(event)
        self.has_events.set()
        if isinstance(event, bytes):
            self.queued_bytes += len(event)
            self.buffers.add(self, len(event))

    async def take(self) -> ServerEvent:
        """Wait for the next event and return it."""
        while not self.events:
            self.has_events.clear()
            await self.has_events.wait()
        event = self.events.popleft()
        if isinstance(event, bytes):
            self.queued_bytes -= len(event)
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
