"""Incremental parser for the HTTP requests of a caller."""

from collections import deque
from collections.abc import Callable
from typing import Final

import httptools

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.gateway.headers import Header, find_header
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.kernel.clock import Clock
from pollenloom.routing.caller_limits import CallerLimits

CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestParser:
    """Parses the requests of one connection, in order.

    The `on_...` methods are callbacks of httptools.

    Attributes:
        requests: Complete requests that were not consumed yet.
        failure: Why no further request can be read; None while parsing works.
        read_started_at: Monotonic time in seconds at which the first byte of
            the current request arrived; None between requests.
        head_received_at: Monotonic time in seconds at which the head of the
            current request was complete; None before.
        interim_response: Interim response to send before the caller continues
            with the body; empty if none is due.
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
        self.interim_response = b''
        self.reset()

    def reset(self) -> None:
        """Clear the state of the current request."""
        self.read_started_at: float | None = None
        self.head_received_at: float | None = None
        self.target = b''
        self.headers: list[Header] = []
        self.header_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0

    def feed(self, chunk: bytes) -> None:
        """Parse received bytes; they are ignored after a failure."""
        if self.failure is not None:
            return
        if self.read_started_at is None:
            self.read_started_at = self.clock.monotonic()
        if self.head_received_at is None:
            self.header_bytes += len(chunk)
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            # No protocol other than HTTP/1 is supported.
            self.fail(
                ErrorKind.INVALID_REQUEST,
                'protocol upgrade is not supported',
            )
        except httptools.HttpParserError as error:
            self.fail(ErrorKind.INVALID_REQUEST, str(error))
        self.check_sizes()

    def check_sizes(self) -> None:
        """Fail if the body or an incomplete head exceeds its size limit."""
        limits = self.limits()
        if self.body_bytes > limits.body_bytes:
            self.fail(
                ErrorKind.BODY_TOO_LARGE, f'body of {self.body_bytes} bytes'
            )
        elif (
            self.head_received_at is None
            and self.header_bytes > limits.header_bytes
        ):
            self.fail(
                ErrorKind.HEADER_TOO_LARGE, f'head of {self.header_bytes} bytes'
            )

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """Stop parsing; the first failure is kept."""
        if self.failure is None:
            self.failure = Failure(kind, detail)

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self.target += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store one header."""
        self.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Record the time; set the interim response if one is expected."""
        self.head_received_at = self.clock.monotonic()
        if find_header(self.headers, b'expect') is not None:
            self.interim_response = CONTINUE_RESPONSE

    def on_body(self, part: bytes) -> None:
        """Store a part of the body unless it is too large."""
        self.body_bytes += len(part)
        if self.body_bytes <= self.limits().body_bytes:
            self.body.append(part)

    def on_message_complete(self) -> None:
        """Queue the complete request and start the next one."""
        request = RawRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=tuple(self.headers),
            body=b''.join(self.body),
            received_at=self.head_received_at or self.clock.monotonic(),
            keeps_alive=self.parser.should_keep_alive(),
        )
        self.reset()
        self.requests.append(request)

    def timeout_seconds(self, idle_seconds: float) -> float:
        """Return the longest wait for more bytes, in seconds.

        `idle_seconds` applies between requests.
        """
        if self.read_started_at is None:
            return idle_seconds
        limits = self.limits()
        if self.head_received_at is None:
            return limits.header_seconds
        return limits.idle_seconds
