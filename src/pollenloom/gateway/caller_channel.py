"""Connection of a caller: bytes in, whole requests out."""

import asyncio
from collections.abc import Callable
from typing import Final, cast

from pollenloom.core.failure import Failure
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.request_parser import RequestParser
from pollenloom.kernel.clock import Clock
from pollenloom.routing.caller_limits import CallerLimits

# Requests that a caller sends ahead; more of them wait in its own buffers.
MOST_AHEAD: Final = 4
# Bytes of an answer that wait for a slow caller.
WRITE_BUFFER_BYTES: Final = 65_536


class CallerChannel(asyncio.Protocol):
    """Hands over requests and tells when the caller has left.

    Attributes:
        has_left: Whether the connection is gone, or its sending side closed.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        on_open: 'Callable[[CallerChannel], None]',
    ) -> None:
        self.parser = RequestParser(clock, limits)
        self.on_open = on_open
        self.on_left: Callable[[], object] = do_nothing
        self.has_left = False
        self.has_news = asyncio.Event()
        self.may_write = asyncio.Event()
        self.may_write.set()

    @property
    def failure(self) -> Failure | None:
        """Why no further request can be read, if so."""
        return self.parser.failure

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of the connection."""
        # uvloop's transports do not derive from asyncio.Transport.
        self.transport = cast('asyncio.Transport', transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.on_open(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Tell that the caller has left."""
        self.leave()

    def eof_received(self) -> bool:
        """Callers that close their side wait for no answer."""
        self.leave()
        return False

    def leave(self) -> None:
        """Tell once that the caller has left."""
        if self.has_left:
            return
        self.has_left = True
        self.has_news.set()
        self.may_write.set()
        self.on_left()

    def pause_writing(self) -> None:
        """The caller reads more slowly than the answer comes."""
        self.may_write.clear()

    def resume_writing(self) -> None:
        """The caller has caught up."""
        self.may_write.set()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of the caller."""
        self.parser.feed(chunk)
        if self.parser.interim:
            self.transport.write(self.parser.interim)
            self.parser.interim = b''
        if len(self.parser.requests) > MOST_AHEAD:
            self.transport.pause_reading()
        self.has_news.set()

    async def next_request(self, idle_seconds: float) -> RawRequest | None:
        """Return the next whole request; None if there will be none.

        Ends when the caller left, sent what is no request, or was idle.
        """
        while not self.parser.requests:
            if self.failure is not None or self.has_left:
                return None
            self.has_news.clear()
            try:
                async with asyncio.timeout(
                    self.parser.timeout_seconds(idle_seconds)
                ):
                    await self.has_news.wait()
            except TimeoutError:
                return None
        self.transport.resume_reading()
        return self.parser.requests.popleft()

    async def write(self, chunk: bytes) -> bool:
        """Write bytes; return whether the caller is still there."""
        if self.has_left:
            return False
        self.transport.write(chunk)
        if not self.may_write.is_set():
            await self.may_write.wait()
        return not self.has_left

    def close(self) -> None:
        """Close after what was written."""
        self.transport.close()

    def abort(self) -> None:
        """Close at once, so that an answer does not look complete."""
        self.transport.abort()


def do_nothing() -> None:
    """Stand for a listener until there is one."""
