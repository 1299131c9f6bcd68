"""Writes a response to a caller."""

from http import HTTPStatus
from typing import Final

from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.headers import (
    CONNECTION,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
    end_to_end_headers,
    render,
)
from pollenloom.gateway.server_event import ResponseHead

LAST_CHUNK: Final = b'0\r\n\r\n'


class ResponseWriter:
    """Writes one response on the connection of a caller.

    Attributes:
        keeps_alive: Whether the connection stays open after the response,
            unless the channel says otherwise by then.
        has_started: Whether a part of the response was written.
        is_complete: Whether the complete response was written.
    """

    def __init__(self, channel: CallerChannel, *, keeps_alive: bool) -> None:
        self.channel = channel
        self.keeps_alive = keeps_alive
        self.has_started = False
        self.is_complete = False

    async def write_response(
        self,
        head: ResponseHead,
        body: bytes | bytearray,
        *,
        content_length: bytes | None = None,
    ) -> None:
        """Write a response with its complete body.

        `content_length` replaces the length of the body in the response to a
        HEAD request.
        """
        headers = end_to_end_headers(head.headers)
        headers.append((CONTENT_LENGTH, content_length or b'%d' % len(body)))
        self.has_started = True
        self.is_complete = True
        await self.channel.write(self.render_head(head.status, headers), body)

    async def start(self, head: ResponseHead) -> None:
        """Write the head of a response with a chunked body."""
        headers = end_to_end_headers(head.headers)
        headers.append((TRANSFER_ENCODING, b'chunked'))
        self.has_started = True
        await self.channel.write(self.render_head(head.status, headers))

    async def write_chunk(self, chunk: bytes) -> None:
        """Write a chunk of the body; empty ones are skipped."""
        if chunk:
            await self.channel.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))

    async def finish(self) -> None:
        """Write the last chunk, which completes the response."""
        self.is_complete = True
        await self.channel.write(LAST_CHUNK)

    def drop_slow_caller(self) -> None:
        """Disconnect a caller that has not read the complete response."""
        if self.is_complete:
            self.channel.abort()

    def render_head(self, status: int, headers: list[Header]) -> bytes:
        """Return the encoded head of a response."""
        if not self.keeps_alive or not self.channel.may_stay_open:
            headers.append((CONNECTION, b'close'))
        phrase = (
            HTTPStatus(status).phrase if is_registered_status(status) else ''
        )
        start_line = f'HTTP/1.1 {status} {phrase}'.encode()
        return render(start_line, headers)


def is_registered_status(status: int) -> bool:
    """Whether a status is a registered HTTP status code."""
    return status in HTTPStatus.__members__.values()
