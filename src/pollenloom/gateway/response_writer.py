"""Passes an answer on to a caller."""

from http import HTTPStatus
from typing import Final

from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.headers import (
    CONNECTION,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
    end_to_end,
    render,
)
from pollenloom.gateway.server_event import ResponseHead

LAST_CHUNK: Final = b'0\r\n\r\n'


class ResponseWriter:
    """Writes one answer to one caller.

    Attributes:
        is_begun: Whether bytes of an answer were written.
        is_over: Whether a whole answer was written.
    """

    def __init__(self, channel: CallerChannel, *, keeps_alive: bool) -> None:
        self.channel = channel
        self.keeps_alive = keeps_alive
        self.is_begun = False
        self.is_over = False

    async def write_whole(
        self,
        head: ResponseHead,
        body: bytes,
        *,
        length: bytes | None = None,
    ) -> None:
        """Write an answer whose body is known; `length` is that of a HEAD."""
        headers = end_to_end(head.headers)
        headers.append((CONTENT_LENGTH, length or b'%d' % len(body)))
        self.is_begun = True
        self.is_over = True
        await self.channel.write(self.head(head.status, headers) + body)

    async def begin(self, head: ResponseHead) -> None:
        """Write the head of an answer that is passed on as it comes."""
        headers = end_to_end(head.headers)
        headers.append((TRANSFER_ENCODING, b'chunked'))
        self.is_begun = True
        await self.channel.write(self.head(head.status, headers))

    async def write_part(self, part: bytes) -> None:
        """Write a part of the body."""
        if part:
            await self.channel.write(b'%x\r\n%b\r\n' % (len(part), part))

    async def end(self) -> None:
        """Tell that the answer is complete."""
        self.is_over = True
        await self.channel.write(LAST_CHUNK)

    def head(self, status: int, headers: list[Header]) -> bytes:
        """Return the head of an answer."""
        if not self.keeps_alive:
            headers.append((CONNECTION, b'close'))
        phrase = HTTPStatus(status).phrase if is_known(status) else ''
        start_line = f'HTTP/1.1 {status} {phrase}'.encode()
        return render(start_line, headers)


def is_known(status: int) -> bool:
    """Whether a status is registered."""
    return status in HTTPStatus.__members__.values()
