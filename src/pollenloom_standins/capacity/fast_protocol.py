"""Connection of the fast stand-in of backend servers."""

import asyncio
from typing import Any, Final

import msgspec

HEAD_END: Final = b'\r\n\r\n'
# As long as an event of a model engine with one token.
EVENT: Final = (
    b'data: {"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk",'
    b'"created":1893456000,"model":"answers","choices":[{"index":0,"delta":'
    b'{"content":" striker"},"finish_reason":null}]}\n\n'
)
USAGE_EVENT: Final = (
    b'data: {"id":"chatcmpl-0123456789abcdef","choices":[],'
    b'"usage":{"prompt_tokens":8,"completion_tokens":%d}}\n\n'
)
LAST_EVENT: Final = b'data: [DONE]\n\n'
WHOLE_ANSWER: Final = msgspec.json.encode(
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
    """The part of a model request that the stand-in heeds."""

    max_tokens: int = 1
    stream: bool = False


class FastProtocol(asyncio.Protocol):
    """Answers requests on one connection, without checks or queues.

    Attributes:
        interval: Seconds between two events of a stream.
    """

    def __init__(self, interval: float) -> None:
        self.interval = interval
        self.received = b''
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: Any) -> None:
        """Keep the connection to write to."""
        # uvloop's transports are no subclass of asyncio.Transport.
        self.transport: asyncio.Transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Stop streams that nobody reads."""
        for task in self.tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Answer each request that is complete."""
        self.received += data
        while HEAD_END in self.received:
            head, _, rest = self.received.partition(HEAD_END)
            headers = read_headers(head)
            length = int(headers.get(b'content-length', b'0'))
            if len(rest) < length:
                return
            self.received = rest[length:]
            self.answer(headers, rest[:length])

    def answer(self, headers: dict[bytes, bytes], body: bytes) -> None:
        """Answer one request."""
        request_id = headers.get(b'x-request-id', b'')
        request = ModelRequest()
        if body:
            request = msgspec.json.decode(body, type=ModelRequest)
        if not request.stream:
            self.transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                b'X-Request-Id: %b\r\nContent-Length: %d\r\n\r\n%b'
                % (request_id, len(WHOLE_ANSWER), WHOLE_ANSWER),
            )
            return
        task = asyncio.create_task(self.stream(request_id, request.max_tokens))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stream(self, request_id: bytes, events: int) -> None:
        """Write the events of a stream, each by itself."""
        self.transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'X-Request-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
            % request_id,
        )
        for _ in range(events):
            await asyncio.sleep(self.interval)
            self.transport.write(chunk(EVENT))
        end = chunk(USAGE_EVENT % events) + chunk(LAST_EVENT) + chunk(b'')
        self.transport.write(end)


def read_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the headers with lower-case names."""
    lines = head.split(b'\r\n')[1:]
    pairs = (line.partition(b':') for line in lines)
    return {name.lower(): text.strip() for name, _, text in pairs}


def chunk(body: bytes) -> bytes:
    """Return bytes in chunked encoding."""
    return b'%x\r\n%b\r\n' % (len(body), body)
