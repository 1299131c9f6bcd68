"""Connection of a caller, which yields complete requests."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final, cast

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.gateway.body_writing import write_message
from pollenloom.gateway.caller_memory import (
    UNCOUNTED_BYTES,
    CallerMemory,
    MemoryHolder,
)
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.read_flow import ReadFlow
from pollenloom.gateway.request_parser import RequestParser
from pollenloom.kernel.clock import Clock
from pollenloom.routing.caller_limits import CallerLimits

# Pipelined requests that are buffered for a connection; further ones stay in
# the buffers of the caller.
MAX_PIPELINED_REQUESTS: Final = 4
# Bytes of a response that are buffered for a slow caller.
WRITE_BUFFER_BYTES: Final = 65_536
# Longest time in which a caller may read the refusal of a request that it is
# still sending.
DISCARD_SECONDS: Final = 1.0


class CallerChannel(asyncio.Protocol, MemoryHolder):
    """Receives requests and reports when the caller disconnects.

    Attributes:
        on_disconnect: Called once when the caller disconnects.
        is_disconnected: Whether the connection is closed, or the sending side
            of the caller.
        state_changed: Set when bytes arrive or the caller disconnects.
        may_stay_open: Whether it may serve another request.
        may_write: Set while the write buffer has room.
        flow: Pauses reading while enough requests wait.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        memory: CallerMemory,
    ) -> None:
        self.clock = clock
        self.memory = memory
        self.parser = RequestParser(clock, limits)
        self.on_disconnect: Callable[[], object] = do_nothing
        self.is_disconnected = False
        self.may_stay_open = True
        self.state_changed = asyncio.Event()
        self.may_write = asyncio.Event()
        self.may_write.set()

    async def open(self, connection: socket.socket) -> None:
        """Serve an accepted, non-blocking socket with this channel."""
        await asyncio.get_running_loop().connect_accepted_socket(
            lambda: self,
            connection,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the connection."""
        # uvloop's transports do not derive from asyncio.Transport.
        self.transport = cast('asyncio.Transport', transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.flow = ReadFlow(
            self.transport,
            lambda: len(self.parser.requests) <= MAX_PIPELINED_REQUESTS,
        )

    def connection_lost(self, _error: Exception | None) -> None:
        """Report that the caller has disconnected."""
        self.mark_disconnected()

    def eof_received(self) -> bool:
        """Treat a caller that closes its side as disconnected."""
        self.mark_disconnected()
        return False

    def mark_disconnected(self) -> None:
        """Report once that the caller has disconnected."""
        if self.is_disconnected:
            return
        self.is_disconnected = True
        self.state_changed.set()
        self.may_write.set()
        self.on_disconnect()

    def pause_writing(self) -> None:
        """Block writers because the caller reads too slowly."""
        self.may_write.clear()

    def resume_writing(self) -> None:
        """Unblock writers after the caller has caught up."""
        self.may_write.set()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes received from the caller."""
        self.parser.feed(chunk)
        self.count_memory()
        if self.parser.interim_response:
            self.transport.write(self.parser.interim_response)
            self.parser.interim_response = b''
        self.flow.after_read(len(chunk))
        self.state_changed.set()

    async def next_request(self, idle_seconds: float) -> RawRequest | None:
        """Return the next complete request; None if there will be none.

        There is none if the caller disconnected, sent an invalid request or
        was idle for longer than the timeout.
        """
        while not self.parser.requests:
            if self.parser.failure is not None or self.is_disconnected:
                return None
            self.state_changed.clear()
            try:
                async with asyncio.timeout(
                    self.parser.timeout_seconds(idle_seconds)
                ):
                    await self.state_changed.wait()
            except TimeoutError:
                return None
        request = self.parser.take_request()
        if self.flow.is_blocked:
            self.parser.restart_head(self.clock.monotonic())
            self.flow.resume()
        if self.held_bytes:
            self.count_memory()
        return request

    def count_memory(self) -> None:
        """Tell the account how much memory the connection holds."""
        held_bytes = self.parser.held_bytes
        if held_bytes <= UNCOUNTED_BYTES:
            held_bytes = 0
        if held_bytes != self.held_bytes:
            self.memory.update(self, held_bytes, self.clock.monotonic())

    def refuse(self, failure: Failure) -> None:
        """Drop requests that have not begun, since memory is short."""
        self.parser.refuse(failure)
        self.state_changed.set()

    def release_memory(self) -> None:
        """Drop what was received and not used; nothing more is read."""
        self.parser.refuse(
            Failure(ErrorKind.CALLER_DISCONNECTED, 'the connection is closed')
        )
        self.count_memory()

    async def write(self, chunk: bytes, body: bytes | bytearray = b'') -> bool:
        """Write bytes and a body; return whether the caller is connected.

        The body must not change after.
        """
        if self.is_disconnected:
            return False
        write_message(self.transport, chunk, body)
        if not self.may_write.is_set():
            await self.may_write.wait()
        return not self.is_disconnected

    async def discard_input(self) -> None:
        """End the sending side and discard bytes until the caller closes.

        Closing a connection with unread bytes resets it, and the caller could
        lose the response.
        """
        if self.transport.is_closing():
            return
        self.transport.write_eof()
        with suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_SECONDS):
                while not self.is_disconnected:
                    self.state_changed.clear()
                    await self.state_changed.wait()

    def close(self) -> None:
        """Close after the buffered bytes are sent."""
        self.transport.close()

    def abort(self) -> None:
        """Close at once, so that a partial response looks incomplete."""
        self.transport.abort()


def do_nothing() -> None:
    """Default for `on_disconnect`."""
