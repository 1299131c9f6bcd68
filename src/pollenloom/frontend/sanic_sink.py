"""Relay of events to a caller through Sanic."""

from collections.abc import Mapping
from contextlib import suppress
from typing import TYPE_CHECKING

from sanic import Request
from sanic.exceptions import RequestCancelled

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

    async def write(self, events: bytes) -> None:
        """Pass on complete events; waits for a slow reader."""
        response = self.response
        if response is None:
            self.opened_at = self.clock.monotonic()
            response = await self.request.respond(
                headers=dict(self.headers),
                content_type='text/event-stream',
            )
            self.response = response
        try:
            await response.send(events)
        except RequestCancelled as error:
            raise ConnectionResetError('the caller left') from error

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
