"""HTTP protocol of the fast stand-in for backend servers."""

import asyncio
from typing import Any, Final

import msgspec

HEAD_END: Final = b'\r\n\r\n'
# As long as the event that a model engine sends for one token.
TOKEN_EVENT: Final = (
    b'data: {"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk",'
    b'"created":1893456000,"model":"answers","choices":[{"index":0,"delta":'
    b'{"content":" striker"},"finish_reason":null}]}\n\n'
)
USAGE_EVENT: Final = (
    b'data: {"id":"chatcmpl-0123456789abcdef","choices":[],'
    b'"usage":{"prompt_tokens":8,"completion_tokens":%d}}\n\n'
)
LAST_EVENT: Final = b'data: [DONE]\n\n'
COMPLETE_RESPONSE: Final = msgspec.json.encode(
    {
        'id': 'chatcmpl-0123456789abcdef',
        'object': 'chat.completion',
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': 'striker'},
                'finish_reason': 'stop',
            },
        ],
        'usage': {'prompt_tokens': 8, 'completion_tokens': 8},
    },
)


class ModelRequest(msgspec.Struct):
    """Fields of a model request that the stand-in reads.

    Attributes:
        max_tokens: Events in the response, if it is a stream.
        stream: Whether the response is a stream of events.
    """

    max_tokens: int = 1
    stream: bool = False


class FastProtocol(asyncio.Protocol):
    """Responds to the requests of one connection.

    Neither validates nor queues requests, to use little processor time.

    Attributes:
        interval: Seconds between two events of a stream.
    """

    def __init__(self, interval: float) -> None:
        self.interval = interval
        self.received = b''
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: Any) -> None:
        """Store the transport for responses."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self.transport: asyncio.Transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the streams of the closed connection."""
        for task in self.tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Respond to each request that has been received completely."""
        self.received += data
        while HEAD_END in self.received:
            head, _, rest = self.received.partition(HEAD_END)
            headers = read_headers(head)
            length = int(headers.get(b'content-length', b'0'))
            if len(rest) < length:
                return
            self.received = rest[length:]
            self.respond(headers, rest[:length])

    def respond(self, headers: dict[bytes, bytes], body: bytes) -> None:
        """Write a complete response or start a stream of events."""
        request_id = headers.get(b'x-request-id', b'')
        request = ModelRequest()
        if body:
            request = msgspec.json.decode(body, type=ModelRequest)
        if not request.stream:
            self.transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                b'X-Request-Id: %b\r\nContent-Length: %d\r\n\r\n%b'
                % (request_id, len(COMPLETE_RESPONSE), COMPLETE_RESPONSE),
            )
            return
        task = asyncio.create_task(self.stream(request_id, request.max_tokens))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stream(self, request_id: bytes, events: int) -> None:
        """Write a streamed response, one chunk for each event."""
        self.transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'X-Request-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
            % request_id,
        )
        for _ in range(events):
            await asyncio.sleep(self.interval)
            self.transport.write(encode_chunk(TOKEN_EVENT))
        end = (
            encode_chunk(USAGE_EVENT % events)
            + encode_chunk(LAST_EVENT)
            + encode_chunk(b'')
        )
        self.transport.write(end)


def read_headers(head: bytes) -> dict[bytes, bytes]:
    """Parse the head of a request; header names become lower case."""
    lines = head.split(b'\r\n')[1:]
    pairs = (line.partition(b':') for line in lines)
    return {name.lower(): text.strip() for name, _, text in pairs}


def encode_chunk(body: bytes) -> bytes:
    """Return a chunk of a body with chunked transfer encoding."""
    return b'%x\r\n%b\r\n' % (len(body), body)
