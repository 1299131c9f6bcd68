"""Connection of a caller: bytes in, whole requests out."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, cast

import httptools

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.gateway.headers import Header, find
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.kernel.clock import Clock
from pollenloom.routing.caller_limits import CallerLimits

# Requests that a caller sends ahead; more of them wait in its own buffers.
MOST_AHEAD: Final = 4
# Bytes of an answer that wait for a slow caller.
WRITE_BUFFER_BYTES: Final = 65_536
CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class CallerChannel(asyncio.Protocol):
    """Parses requests and tells when the caller has left.

    Attributes:
        left: Set when the connection is gone.
        failure: Why no further request can be read, if so.
        reading_since: When the request being read began, monotonic seconds.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        on_open: 'Callable[[CallerChannel], None]',
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.on_open = on_open
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque[RawRequest] = deque()
        self.failure: Failure | None = None
        self.left = asyncio.Event()
        self.has_news = asyncio.Event()
        self.may_write = asyncio.Event()
        self.may_write.set()
        self.reading_since: float | None = None
        self.reset()

    def reset(self) -> None:
        """Forget the request that was read."""
        self.target = b''
        self.headers: list[Header] = []
        self.header_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.head_at: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of the connection."""
        # uvloop's transports do not derive from asyncio.Transport.
        self.transport = cast('asyncio.Transport', transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.on_open(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Tell that the caller has left."""
        self.left.set()
        self.has_news.set()
        self.may_write.set()

    def eof_received(self) -> bool:
        """Callers that close their side wait for no answer."""
        return False

    def pause_writing(self) -> None:
        """The caller reads more slowly than the answer comes."""
        self.may_write.clear()

    def resume_writing(self) -> None:
        """The caller has caught up."""
        self.may_write.set()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of the caller."""
        if self.failure is not None:
            return
        if self.reading_since is None:
            self.reading_since = self.clock.monotonic()
        if self.head_at is None:
            self.header_bytes += len(chunk)
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken here; the request stands as it is.
            self.fail(ErrorKind.INVALID_REQUEST, 'upgrade to another protocol')
        except httptools.HttpParserError as error:
            self.fail(ErrorKind.INVALID_REQUEST, str(error))
        self.check_sizes()
        if len(self.requests) > MOST_AHEAD:
            self.transport.pause_reading()

    def check_sizes(self) -> None:
        """Refuse a request that is larger than the limits."""
        limits = self.limits()
        if self.body_bytes > limits.body_bytes:
            self.fail(ErrorKind.BODY_TOO_LARGE, f'{self.body_bytes} bytes')
        elif self.head_at is None and self.header_bytes > limits.header_bytes:
            self.fail(ErrorKind.HEADER_TOO_LARGE, f'{self.header_bytes} bytes')

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """Read no further request."""
        if self.failure is None:
            self.failure = Failure(kind, detail)
            self.has_news.set()

    def on_url(self, part: bytes) -> None:
        """Take a part of the target."""
        self.target += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Note when the head was complete."""
        self.head_at = self.clock.monotonic()
        if find(self.headers, b'expect') is not None:
            self.transport.write(CONTINUE)

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self.body_bytes += len(part)
        if self.body_bytes <= self.limits().body_bytes:
            self.body.append(part)

    def on_message_complete(self) -> None:
        """Hand over a whole request."""
        request = RawRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=tuple(self.headers),
            body=b''.join(self.body),
            received_at=self.head_at or self.clock.monotonic(),
            keeps_alive=self.parser.should_keep_alive(),
        )
        self.reset()
        self.reading_since = None
        self.requests.append(request)
        self.has_news.set()

    async def next_request(self, idle_seconds: float) -> RawRequest | None:
        """Return the next whole request; None if there will be none.

        Ends when the caller left, sent what is no request, or was idle.
        """
        while not self.requests:
            if self.failure is not None or self.left.is_set():
                return None
            self.has_news.clear()
            try:
                async with asyncio.timeout(self.patience(idle_seconds)):
                    await self.has_news.wait()
            except TimeoutError:
                return None
        self.transport.resume_reading()
        return self.requests.popleft()

    def patience(self, idle_seconds: float) -> float:
        """Return how long to wait for more bytes, in seconds."""
        if self.reading_since is None:
            return idle_seconds
        limits = self.limits()
        if self.head_at is None:
            return limits.header_seconds
        return limits.idle_seconds

    async def write(self, chunk: bytes) -> bool:
        """Write bytes; return whether the caller is still there."""
        if self.left.is_set():
            return False
        self.transport.write(chunk)
        if not self.may_write.is_set():
            await self.may_write.wait()
        return not self.left.is_set()

    def close(self) -> None:
        """Close after what was written."""
        self.transport.close()

    def abort(self) -> None:
        """Close at once, so that an answer does not look complete."""
        self.transport.abort()
