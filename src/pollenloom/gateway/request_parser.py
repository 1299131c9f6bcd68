"""Parses the bytes of a caller into whole requests."""

from collections import deque
from collections.abc import Callable
from typing import Final

import httptools

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.gateway.headers import Header, find
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.kernel.clock import Clock
from pollenloom.routing.caller_limits import CallerLimits

CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestParser:
    """Requests of one connection, in order.

    Attributes:
        requests: Whole requests that were not taken yet.
        failure: Why no further request can be read, if so.
        reading_since: When the request being read began, monotonic seconds.
        head_at: When its head was complete; None before.
        interim: Bytes that the caller waits for before it goes on.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], CallerLimits],
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque[RawRequest] = deque()
        self.failure: Failure | None = None
        self.interim = b''
        self.reset()

    def reset(self) -> None:
        """Begin a request."""
        self.reading_since: float | None = None
        self.head_at: float | None = None
        self.target = b''
        self.headers: list[Header] = []
        self.header_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0

    def feed(self, chunk: bytes) -> None:
        """Parse bytes; after a failure they are ignored."""
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
            self.interim = CONTINUE

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self.body_bytes += len(part)
        if self.body_bytes <= self.limits().body_bytes:
            self.body.append(part)

    def on_message_complete(self) -> None:
        """Note a whole request."""
        request = RawRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=tuple(self.headers),
            body=b''.join(self.body),
            received_at=self.head_at or self.clock.monotonic(),
            keeps_alive=self.parser.should_keep_alive(),
        )
        self.reset()
        self.requests.append(request)

    def timeout_seconds(self, idle_seconds: float) -> float:
        """Return how long to wait for more bytes, in seconds."""
        if self.reading_since is None:
            return idle_seconds
        limits = self.limits()
        if self.head_at is None:
            return limits.header_seconds
        return limits.idle_seconds
