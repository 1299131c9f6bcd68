"""Client that plays its part of a conversation."""

import asyncio
from contextlib import suppress
from typing import Final

import h11

from pollenloom.core.host_port import split_address
from pollenloom_standins.wire.answer_bytes import split
from pollenloom_standins.wire.conversation import ClientPlan, RouteChoice
from pollenloom_standins.wire.message_events import next_event, resume
from pollenloom_standins.wire.observation import SeenAnswer, SeenRequest
from pollenloom_standins.worker.responses import LAST_CHUNK, chunk

HOST_NAME: Final = 'wire.example'
API_KEY: Final = 'key-of-the-wire'
UPGRADE_LINES: Final = (
    'Connection: Upgrade, HTTP2-Settings',
    'Upgrade: h2c',
    'HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA',
)
# Longer than the time limits of all routes.
ANSWER_SECONDS: Final = 8.0


def make_request(plan: ClientPlan, path: str, request_id: str) -> SeenRequest:
    """Return the request of a plan."""
    method = 'GET' if plan.route is RouteChoice.READ else 'POST'
    if plan.body_bytes:
        method = 'POST'
    unit = f'{request_id}-'.encode()
    body = (unit * (plan.body_bytes // len(unit) + 1))[: plan.body_bytes]
    return SeenRequest(method, path, request_id, body)


def encode(plan: ClientPlan, request: SeenRequest) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f'{request.method} {request.path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Api-Key: {API_KEY}',
        f'X-Pollenloom-Attempt-Id: {request.request_id}',
    ]
    if plan.offers_upgrade:
        lines.extend(UPGRADE_LINES)
    if plan.expects_continue:
        lines.append('Expect: 100-continue')
    if plan.is_chunked:
        lines.append('Transfer-Encoding: chunked')
        parts = split(request.body, plan.chunk_bytes) if request.body else []
        body = b''.join(map(chunk, parts)) + LAST_CHUNK
    else:
        lines.append(f'Content-Length: {len(request.body)}')
        body = request.body
    return '\r\n'.join((*lines, '', '')).encode() + body


class WireClient:
    """One connection of a client to the router."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.rest = b''

    @classmethod
    async def connect(cls, address: str) -> 'WireClient':
        """Open a connection to the router."""
        reader, writer = await asyncio.open_connection(*split_address(address))
        return cls(reader, writer)

    async def ask(self, plan: ClientPlan, request: SeenRequest) -> SeenAnswer:
        """Send a request and read its answer as far as it comes."""
        answer = SeenAnswer()
        with suppress(TimeoutError, ConnectionError, h11.RemoteProtocolError):
            async with asyncio.timeout(ANSWER_SECONDS):
                for part in split(encode(plan, request), plan.write_bytes):
                    self.writer.write(part)
                    await self.writer.drain()
                await self.read(request, answer)
        return answer

    async def read(self, request: SeenRequest, answer: SeenAnswer) -> None:
        """Read an answer.

        Raises:
            ConnectionError: If the connection ends within it.
            h11.RemoteProtocolError: If it is no answer.
        """
        connection = h11.Connection(h11.CLIENT)
        connection.send(
            h11.Request(
                method=request.method,
                target=request.path,
                headers=[('Host', HOST_NAME)],
            )
        )
        connection.send(h11.EndOfMessage())
        resume(connection, self.rest)
        while not answer.is_complete:
            event = await next_event(connection, self.reader)
            if isinstance(event, h11.Response):
                answer.status = event.status_code
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
        self.rest = connection.trailing_data[0]

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent."""
        return not self.reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
