"""Connection to a backend server, for one request at a time."""

import asyncio
from http import HTTPStatus
from typing import Final, cast

import httptools

from pollenloom.core.http_statuses import is_final_status, is_interim_status
from pollenloom.gateway.connection_history import ConnectionHistory
from pollenloom.gateway.connection_state import (
    has_unacknowledged,
    was_reset,
)
from pollenloom.gateway.embedded_response import is_merged_head
from pollenloom.gateway.expected_response import ExpectedResponse
from pollenloom.gateway.headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
    find_header,
    keep_alive_seconds,
)
from pollenloom.gateway.read_flow import ReadFlow
from pollenloom.gateway.response_buffers import ResponseBuffers
from pollenloom.gateway.response_queue import ResponseQueue
from pollenloom.gateway.server_event import (
    ChannelEnd,
    CloseCause,
    ResponseHead,
    ServerEvent,
    UnrequestedBytes,
)

BODILESS_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)
# Lines of a head and of trailers. Heads of servers have about ten; the objects
# of a line take 40 times the memory of its bytes.
MAX_HEADER_LINES: Final = 1000


class ServerChannel(asyncio.Protocol):
    """Parses responses and queues the one that belongs to the request.

    A response with the id of another request is skipped. The connection is
    aborted if bytes arrive while no request is in progress.

    Attributes:
        flow: Pauses reading while the queue is full.
        queue: Events of the response.
        is_reusable: Whether another request may be sent.
        idle_timeout_seconds: How long the server keeps the connection open
            while it is idle; None if not stated.
        idle_since: Monotonic time in seconds of the last release to the pool.
        response_ended: Whether the response has ended or none is expected.
        is_skipping: Whether the response being parsed is discarded.
        is_framed: Whether the response marks its own end.
        request: What is known of the request in progress or the last one.
        history: Requests that the connection has carried.
    """

    def __init__(self, id_header: bytes, buffers: ResponseBuffers) -> None:
        self.id_header = id_header
        self.parser = httptools.HttpResponseParser(self)
        self.queue = ResponseQueue(buffers, self.abort)
        self.is_open = False
        self.is_reusable = True
        self.idle_timeout_seconds: float | None = None
        self.idle_since: float = 0
        self.request = ExpectedResponse()
        self.history = ConnectionHistory()
        self.response_ended = True
        self.is_skipping = False
        self.is_framed = True
        self.headers: list[Header] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports do not derive from asyncio.Transport.
        self.transport = cast('asyncio.Transport', transport)
        self.flow = ReadFlow(self.transport, self.queue.has_room)
        self.is_open = True

    def expect_response(
        self, request_id: bytes, *, is_head_request: bool
    ) -> None:
        """Prepare for the response to a request."""
        self.history.begin(request_id)
        self.request = ExpectedResponse(
            request_id, is_head_request=is_head_request
        )
        self.response_ended = False
        self.queue.clear()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes received from the server."""
        if self.response_ended:
            self.request.has_bytes_behind = True
            self.history.on_unrequested(UnrequestedBytes.IDLE)
            self.abort()
            return
        self.request.count_received(len(chunk))
        try:
            self.parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.request.has_bytes_behind |= self.response_ended
            self.reject(ChannelEnd.MALFORMED)
        self.queue.join_parts()
        if self.request.is_overhead_too_long:
            self.reject(ChannelEnd.TOO_LONG)
        self.flow.after_read(len(chunk))

    def reject(self, end: ChannelEnd) -> None:
        """End the response and close, since a server may send without end."""
        self.finish(end)
        self.abort()

    def eof_received(self) -> bool:
        """End the response, which is complete if only closing marks its end.

        Then the connection stays open on this side until it is released, as a
        reset may follow.
        """
        is_announced = self.response_ended and not self.is_reusable
        self.is_reusable = False
        if not self.may_end_response():
            self.history.note_close(
                CloseCause.RESPONSE_END if is_announced else CloseCause.SERVER
            )
            self.finish(ChannelEnd.CLOSED)
            return False
        self.history.note_close(CloseCause.RESPONSE_END)
        if was_reset(self.transport):
            self.finish(ChannelEnd.RESET)
            return False
        if has_unacknowledged(self.transport):
            self.finish(ChannelEnd.REQUEST_UNREAD)
            return False
        self.finish(ChannelEnd.COMPLETE)
        return True

    def may_end_response(self) -> bool:
        """Whether closing the connection is how the response ends."""
        is_started = bool(self.headers) and not self.response_ended
        return is_started and not self.is_framed and not self.is_skipping

    def may_be_kept(self) -> bool:
        """Whether the next request would not wait behind the rest of this one.

        A server may respond before it reads a long body, and read on late or
        never.
        """
        return (
            self.is_open
            and self.is_reusable
            and not has_unacknowledged(self.transport)
        )

    def connection_lost(self, _error: Exception | None) -> None:
        """End an unfinished response as reset."""
        self.is_open = False
        self.is_reusable = False
        self.finish(ChannelEnd.RESET)
        self.history.connection_lost()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store one header; end a response that has too many."""
        if self.response_ended:
            return
        if len(self.headers) < MAX_HEADER_LINES:
            self.headers.append((name.lower(), text))
        else:
            self.reject(ChannelEnd.TOO_LONG)

    def on_headers_complete(self) -> None:
        """Queue the head if the response belongs to the request."""
        status = self.parser.get_status_code()
        if self.response_ended:
            self.request.has_bytes_behind = True
            self.history.on_unrequested(UnrequestedBytes.BEHIND)
            self.is_reusable = False
            self.is_skipping = True
            return
        if not is_final_status(status):
            fault = find_interim_fault(status, self.headers)
            if fault is not None:
                self.request.rejected_status = status
                self.reject(fault)
            return
        if is_merged_head(self.headers, self.id_header):
            self.is_skipping = True
            self.is_reusable = False
            self.finish(ChannelEnd.MIXED)
            return
        response_id = find_header(self.headers, self.id_header)
        if response_id is not None and response_id != self.request.request_id:
            # A late response to an earlier request on this connection.
            self.history.on_unrequested(UnrequestedBytes.BEFORE)
            self.is_skipping = True
            self.is_reusable = False
            return
        self.is_framed = (
            self.request.is_head_request or self.is_self_delimiting(status)
        )
        self.idle_timeout_seconds = keep_alive_seconds(self.headers)
        head = ResponseHead(status, tuple(self.headers), self.is_framed)
        self.queue.put(head)
        self.request.body_received()
        if self.request.is_head_request:
            self.is_reusable = False
            self.finish(ChannelEnd.COMPLETE)

    def is_self_delimiting(self, status: int) -> bool:
        """Whether the response marks its end without closing."""
        return (
            status in BODILESS_STATUSES
            or find_header(self.headers, CONTENT_LENGTH) is not None
            or find_header(self.headers, TRANSFER_ENCODING) is not None
        )

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body until the read is parsed."""
        if not self.is_skipping and not self.response_ended:
            self.request.body_received()
            self.queue.parts += part

    def on_message_complete(self) -> None:
        """End the response unless it is skipped or interim."""
        is_skipped = self.is_skipping
        is_final = is_final_status(self.parser.get_status_code())
        self.headers = []
        self.is_skipping = False
        if is_skipped or not is_final or self.response_ended:
            return
        if not self.parser.should_keep_alive():
            self.is_reusable = False
        self.finish(ChannelEnd.COMPLETE)

    def finish(self, end: ChannelEnd) -> None:
        """End the response, once."""
        if not self.response_ended:
            self.response_ended = True
            self.queue.put(end)

    async def next_event(self) -> ServerEvent:
        """Wait for the next event of the response and return it."""
        event = await self.queue.take()
        if self.flow.is_blocked:
            self.flow.resume()
        return event

    def abort(self) -> None:
        """Close at once, which makes the server stop the request."""
        self.is_reusable = False
        self.history.note_close(CloseCause.ROUTER)
        if self.is_open:
            self.transport.abort()


def find_interim_fault(status: int, headers: list[Header]) -> ChannelEnd | None:
    """Return why a head is not that of an interim response; None if it is.

    The parser takes what an interim response announces as its body for the
    next response, or for the body of one.
    """
    if not is_interim_status(status):
        return ChannelEnd.STATUS_INVALID
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        return ChannelEnd.SWITCHED
    length = find_header(headers, CONTENT_LENGTH) or b'0'
    if length != b'0' or find_header(headers, TRANSFER_ENCODING) is not None:
        return ChannelEnd.INTERIM_BODY
    return None
