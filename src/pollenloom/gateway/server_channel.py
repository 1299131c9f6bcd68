"""Connection to a backend server that carries one request at a time."""

import asyncio
import socket
from collections import deque
from http import HTTPStatus
from typing import Final, cast

import httptools

from pollenloom.gateway.headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
    find,
    keep_alive_seconds,
)
from pollenloom.gateway.server_event import (
    ChannelEnd,
    ResponseHead,
    ServerEvent,
)

# Events that wait for a slow caller before the server is slowed down.
MOST_EVENTS: Final = 64
WITHOUT_BODY: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)
FIRST_FINAL_STATUS: Final = 200


class ServerChannel(asyncio.Protocol):
    """Parses answers and passes on the one that belongs to the request.

    An answer with the id of another request is left out. Bytes that come
    while no request is out make the connection useless.

    Attributes:
        is_reusable: Whether another request may be sent.
        idle_seconds: How long the server keeps it idle, if told.
    """

    def __init__(self, id_header: bytes) -> None:
        self.id_header = id_header
        self.parser = httptools.HttpResponseParser(self)
        self.events: deque[ServerEvent] = deque()
        self.has_events = asyncio.Event()
        self.is_open = False
        self.is_reusable = True
        self.idle_seconds: float | None = None
        self.idle_since: float = 0
        self.request_id: bytes | None = None
        self.is_head = False
        self.is_over = True
        self.is_skipping = False
        self.is_framed = True
        self.headers: list[Header] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        # uvloop's transports do not derive from asyncio.Transport.
        self.transport = cast('asyncio.Transport', transport)
        self.is_open = True

    def begin(self, request_id: bytes, *, is_head: bool) -> None:
        """Expect the answer to a request."""
        self.request_id = request_id
        self.is_head = is_head
        self.is_over = False
        self.events.clear()
        self.has_events.clear()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of the server."""
        if self.is_over:
            self.is_reusable = False
            self.abort()
            return
        try:
            self.parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_reusable = False
            self.finish(ChannelEnd.GARBLED)
        if len(self.events) > MOST_EVENTS:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """The end of an answer without a length, or a broken one."""
        self.is_reusable = False
        is_started = bool(self.headers)
        if not is_started or self.is_framed or self.is_skipping:
            self.finish(ChannelEnd.CLOSED)
        elif self.was_reset():
            self.finish(ChannelEnd.RESET)
        else:
            self.finish(ChannelEnd.COMPLETE)
        return False

    def was_reset(self) -> bool:
        """Whether the connection ended by a reset.

        libuv reports a hang-up after a partial read as an end of file, also
        where the other side sent a reset; the error is still pending then.
        """
        endpoint = self.transport.get_extra_info('socket')
        pending = endpoint.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return bool(pending)

    def connection_lost(self, _error: Exception | None) -> None:
        """An answer that is not complete now never will be."""
        self.is_open = False
        self.is_reusable = False
        self.finish(ChannelEnd.RESET)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Pass the head on, if the answer is the awaited one."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        if self.is_over:
            self.is_reusable = False
            self.is_skipping = True
            return
        answered = find(self.headers, self.id_header)
        if answered is not None and answered != self.request_id:
            # A late answer to an earlier request of this connection.
            self.is_skipping = True
            self.is_reusable = False
            return
        self.is_framed = self.is_head or self.tells_end(status)
        self.idle_seconds = keep_alive_seconds(self.headers)
        head = ResponseHead(status, tuple(self.headers), self.is_framed)
        self.put(head)
        if self.is_head:
            self.is_reusable = False
            self.finish(ChannelEnd.COMPLETE)

    def tells_end(self, status: int) -> bool:
        """Whether an answer ends before its connection does."""
        return (
            status in WITHOUT_BODY
            or find(self.headers, CONTENT_LENGTH) is not None
            or find(self.headers, TRANSFER_ENCODING) is not None
        )

    def on_body(self, part: bytes) -> None:
        """Pass on a part of the body."""
        if not self.is_skipping and not self.is_over:
            self.put(part)

    def on_message_complete(self) -> None:
        """Note the end of an answer; interim ones do not count."""
        is_skipped = self.is_skipping
        is_final = self.parser.get_status_code() >= FIRST_FINAL_STATUS
        self.headers = []
        self.is_skipping = False
        if is_skipped or not is_final or self.is_over:
            return
        if not self.parser.should_keep_alive():
            self.is_reusable = False
        self.finish(ChannelEnd.COMPLETE)

    def put(self, event: ServerEvent) -> None:
        """Hand an event to the waiting task."""
        self.events.append(event)
        self.has_events.set()

    def finish(self, end: ChannelEnd) -> None:
        """End the answer once."""
        if not self.is_over:
            self.is_over = True
            self.put(end)

    async def next_event(self) -> ServerEvent:
        """Return the next event of the answer."""
        while not self.events:
            self.has_events.clear()
            await self.has_events.wait()
        if self.is_open and len(self.events) == MOST_EVENTS:
            self.transport.resume_reading()
        return self.events.popleft()

    def abort(self) -> None:
        """Close at once; the server stops its work."""
        self.is_reusable = False
        if self.is_open:
            self.transport.abort()
