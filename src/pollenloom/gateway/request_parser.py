"""Incremental parser for the HTTP requests of a caller."""

from collections import deque
from collections.abc import Callable
from typing import Final

import httptools

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.gateway.headers import CONTENT_LENGTH, Header, find_header
from pollenloom.gateway.http1_parser import (
    Http1Parser,
    RequestCallbacks,
    TunnelRequestedError,
)
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.kernel.clock import Clock
from pollenloom.routing.caller_limits import CallerLimits

CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# The shortest header line has a name of one byte, a colon and the end of line.
SHORTEST_LINE_BYTES: Final = 3
# Memory of a header line without its characters: a tuple, two objects of bytes
# and a place in a list.
HEADER_OBJECT_BYTES: Final = 176
# Memory of an entry of a list in a header once it is decoded.
ENTRY_OBJECT_BYTES: Final = 160
# Header values up to this size are not searched for such lists.
SHORT_VALUE_BYTES: Final = 64
# Memory of a request without its head and body.
REQUEST_OBJECT_BYTES: Final = 512


class RequestParser(RequestCallbacks):
    """Parses the requests of one connection, in order.

    The `on_...` methods are callbacks of httptools. A read may hold several
    requests, and httptools goes on to its end, so the callbacks themselves do
    nothing after a failure.

    Attributes:
        requests: Complete requests that were not consumed yet.
        failure: Why no further request can be read; None while parsing works.
        read_started_at: Monotonic time in seconds at which the first byte of
            the current request arrived; None between requests.
        head_received_at: Monotonic time in seconds at which the head of the
            current request was complete; None before.
        request_limits: Limits of the current request: those in force when its
            head was complete.
        framing_bytes: Bytes that were received for the current request
            since the last part of its body, not counting that read: its head,
            framing of chunks and trailers.
        body: Body received so far; one object unless it came in one part,
            since an object of its own for each part takes up to 28 times the
            memory of the bytes.
        queued_bytes: Memory of the requests that were not consumed yet.
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
        self.http = Http1Parser(self)
        self.requests: deque[RawRequest] = deque()
        self.failure: Failure | None = None
        self.interim_response = b''
        self.queued_bytes = 0
        self.reset()

    def reset(self) -> None:
        """Clear the state of the current request."""
        self.read_started_at: float | None = None
        self.head_received_at: float | None = None
        self.target = b''
        self.headers: list[Header] = []
        self.request_limits = self.limits()
        self.framing_bytes = 0
        self.head_held_bytes = 0
        self.body: bytes | bytearray = b''

    @property
    def held_bytes(self) -> int:
        """Memory of all that was received and not consumed, in bytes."""
        held = self.queued_bytes + self.framing_bytes + len(self.body)
        if self.head_received_at is not None:
            return held + self.head_held_bytes
        return held + len(self.headers) * HEADER_OBJECT_BYTES

    def feed(self, chunk: bytes) -> None:
        """Parse received bytes; they are ignored after a failure."""
        if self.failure is not None:
            return
        if self.read_started_at is None:
            self.read_started_at = self.clock.monotonic()
        self.framing_bytes += len(chunk)
        try:
            self.http.feed(chunk)
        except (httptools.HttpParserError, TunnelRequestedError) as error:
            self.fail(ErrorKind.INVALID_REQUEST, str(error))
        self.check_head_size(self.framing_bytes)

    def check_head_size(self, size: int) -> None:
        """Fail if a head, trailers or framing of so many bytes are too long."""
        if size > self.limits().header_bytes:
            self.fail(ErrorKind.HEADER_TOO_LARGE, f'head of {size} bytes')

    def check_body_size(self, size: int) -> None:
        """Fail if a body of so many bytes is too long for the request."""
        if size > self.request_limits.body_bytes:
            self.fail(ErrorKind.BODY_TOO_LARGE, f'body of {size} bytes')

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """Stop parsing and drop the current request.

        The first failure is kept.
        """
        if self.failure is None:
            self.failure = Failure(kind, detail)
            self.reset()

    def refuse(self, failure: Failure) -> None:
        """Stop parsing and drop all requests that were not consumed."""
        self.requests.clear()
        self.queued_bytes = 0
        self.failure = failure
        self.reset()

    def restart_head(self, now: float) -> None:
        """Begin the time of an incomplete head again.

        Its rest could not arrive while the connection was not read.
        """
        if self.read_started_at is not None:
            self.read_started_at = now

    def take_request(self) -> RawRequest:
        """Return the first complete request, which is consumed by that."""
        request = self.requests.popleft()
        self.queued_bytes -= request.held_bytes
        return request

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        if self.head_received_at is None:
            self.target += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store one header; drop a trailer.

        Routing and authorisation read the headers of the head only (RFC 9110,
        section 6.5.1).
        """
        if self.head_received_at is not None or self.failure is not None:
            return
        # No head of the largest size has more lines.
        least_bytes = len(self.headers) * SHORTEST_LINE_BYTES
        if least_bytes < self.request_limits.header_bytes:
            self.headers.append((name.lower(), text))
        else:
            self.check_head_size(least_bytes + SHORTEST_LINE_BYTES)

    def on_headers_complete(self) -> None:
        """Check the sizes; set the interim response if one is expected.

        `Http1Parser` may report the end of a head twice.
        """
        if self.failure is not None or self.head_received_at is not None:
            return
        self.head_received_at = self.clock.monotonic()
        self.request_limits = self.limits()
        self.measure_head()
        length = find_header(self.headers, CONTENT_LENGTH)
        if length is not None:
            # httptools rejects a length that is not a 64-bit number.
            self.check_body_size(int(length))
        expectation = find_header(self.headers, b'expect')
        if expectation is not None and self.failure is None:
            self.interim_response = CONTINUE_RESPONSE

    def measure_head(self) -> None:
        """Check the size of the complete head; count its memory.

        The size is without optional white space.
        """
        start_line = b' '.join(
            (self.http.parser.get_method(), self.target, b'HTTP/1.1\r\n')
        )
        size = len(start_line) + len('\r\n')
        size += len(self.headers) * len(':\r\n')
        entries = 0
        for name, text in self.headers:
            size += len(name) + len(text)
            if len(text) > SHORT_VALUE_BYTES:
                entries += text.count(b',')
        self.head_held_bytes = (
            size
            + len(self.headers) * HEADER_OBJECT_BYTES
            + entries * ENTRY_OBJECT_BYTES
        )
        self.check_head_size(size)

    def on_body(self, part: bytes) -> None:
        """Store a part of the body unless it is too large."""
        if self.failure is None:
            self.check_body_size(len(self.body) + len(part))
        if self.failure is not None:
            return
        self.framing_bytes = 0
        if not self.body:
            self.body = part
            return
        if isinstance(self.body, bytes):
            self.body = bytearray(self.body)
        self.body += part

    def on_message_complete(self) -> None:
        """Queue the complete request and start the next one.

        A request that failed is never queued, since a part of it may be
        missing.
        """
        if self.failure is not None or self.http.is_stopped:
            return
        request = RawRequest(
            method=self.http.parser.get_method(),
            target=self.target,
            headers=tuple(self.headers),
            body=bytes(self.body),
            received_at=self.head_received_at or self.clock.monotonic(),
            keeps_alive=self.http.parser.should_keep_alive(),
            held_bytes=REQUEST_OBJECT_BYTES
            + self.head_held_bytes
            + len(self.body),
        )
        self.queued_bytes += request.held_bytes
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
            read_seconds = self.clock.monotonic() - self.read_started_at
            return max(0, limits.header_seconds - read_seconds)
        return limits.idle_seconds
