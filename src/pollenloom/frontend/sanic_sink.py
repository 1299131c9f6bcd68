"""Relay of stream events to a caller through Sanic."""

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
    """Starts the response with the first event and writes all events to it.

    Attributes:
        started_at: Monotonic time in seconds at which the response started;
            None before.
        response: The started response; None before.
        stream: HTTP stream of the started response, for direct writes.
    """

    def __init__(
        self,
        request: Request,
        headers: Mapping[str, str],
        clock: Clock,
    ) -> None:
        self.clock = clock
        self.started_at: float | None = None
        self.request = request
        self.headers = headers
        self.response: BaseHTTPResponse | None = None
        self.stream: Http | None = None

    async def write(self, events: bytes) -> None:
        """Send complete events; waits for a slow reader.

        Raises:
            ConnectionError: If the caller disconnected.
        """
        if self.write_directly(events):
            return
        response = self.response
        if response is None:
            response = await self.start()
        try:
            await response.send(events)
        except RequestCancelled as error:
            raise ConnectionResetError('the caller disconnected') from error

    async def start(self) -> 'BaseHTTPResponse':
        """Start the response; its head is sent with the first event."""
        self.started_at = self.clock.monotonic()
        response: BaseHTTPResponse = await self.request.respond(
            headers=dict(self.headers),
            content_type='text/event-stream',
        )
        self.response = response
        if isinstance(self.request.stream, Http):
            self.stream = self.request.stream
        return response

    def write_directly(self, events: bytes) -> bool:
        """Write a chunk of the body directly to the transport if possible.

        Sanic makes five calls for each event. They are still used for the
        head, the end, slow readers and callers that have disconnected.

        Returns:
            Whether the events were written.
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

    async def abort(self, error_event: bytes) -> None:
        """End a stream that cannot be completed.

        The connection is closed without the end of the body, so that no
        client mistakes the response for a complete one.
        """
        with suppress(ConnectionError):
            await self.write(error_event)
        if self.request.transport is not None:
            self.request.transport.close()
