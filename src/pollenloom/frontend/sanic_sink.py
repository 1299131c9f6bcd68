"""Relay of events to a caller through Sanic."""

from collections.abc import Mapping
from contextlib import suppress
from typing import TYPE_CHECKING

from sanic import Request
from sanic.exceptions import RequestCancelled
from sanic.http import Http

from pollenloom.dispatch.event_sink import EventSink
from pollenloom.kernel.clock import Clock

if TYPE_CHECKING:
    from sanic.response import BaseHTTPResponse


class SanicSink(EventSink):
    """Starts the answer with the first event and writes the others to it."""

    def __init__(
        self,
        request: Request,
        headers: Mapping[str, str],
        clock: Clock,
    ) -> None:
        self.clock = clock
        self.opened_at: float | None = None
        self.request = request
        self.headers = headers
        self.response: BaseHTTPResponse | None = None
        self.stream: Http | None = None

    async def write(self, events: bytes) -> None:
        """Pass on complete events; waits for a slow reader."""
        if self.write_at_once(events):
            return
        response = self.response
        if response is None:
            response = await self.open()
        try:
            await response.send(events)
        except RequestCancelled as error:
            raise ConnectionResetError('the caller left') from error

    async def open(self) -> 'BaseHTTPResponse':
        """Start the answer; its head goes out with the first event."""
        self.opened_at = self.clock.monotonic()
        response: BaseHTTPResponse = await self.request.respond(
            headers=dict(self.headers),
            content_type='text/event-stream',
        )
        self.response = response
        if isinstance(self.request.stream, Http):
            self.stream = self.request.stream
        return response

    def write_at_once(self, events: bytes) -> bool:
        """Write a chunk of the body if the caller reads fast enough.

        Sanic's own way takes five calls for each event. It stays in use for
        the head, the end, slow readers and callers that have left.
        """
        stream = self.stream
        if (
            stream is None
            or stream.response_func != stream.http1_response_chunked
        ):
            return False
        protocol = stream.protocol
        if not protocol._can_write.is_set():  # ruff: ignore[private-member-access] no public name
            return False
        transport = protocol.transport
        if transport is None or transport.is_closing():
            return False
        transport.write(b'%x\r\n%b\r\n' % (len(events), events))
        return True

    async def finish(self) -> None:
        """End the body after the last event."""
        if self.response is not None:
            await self.response.send(end_stream=True)

    async def close_cut(self, error_event: bytes) -> None:
        """End a stream that cannot be completed.

        The connection is closed without the end of the body, so that no
        client takes the answer for a whole one.
        """
        with suppress(ConnectionError):
            await self.write(error_event)
        if self.request.transport is not None:
            self.request.transport.close()
