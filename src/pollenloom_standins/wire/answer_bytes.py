"""Bytes that a server writes in a conversation."""

from typing import Final

from pollenloom_standins.wire.conversation import (
    ConnectionEnd,
    Conversation,
    Extra,
    Fate,
    Framing,
    RouteChoice,
)
from pollenloom_standins.worker.responses import LAST_CHUNK, chunk

EVENT_END: Final = b'\n\n'
INTERIM_RESPONSE: Final = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
GARBAGE: Final = b'\x00\x01 no response at all\r\n\r\n'
EARLIER_ID: Final = 'earlier'
OTHER_ID: Final = 'other'
# Bytes of an endless body that are repeated.
REPEATED_BYTES: Final = 65_536


def make_content(conversation: Conversation, request_id: str) -> bytes:
    """Return the body that a client must get to see a success."""
    server = conversation.server
    if conversation.client.route is not RouteChoice.STREAM:
        unit = f'{request_id}.'.encode()
        return (unit * (server.body_bytes // len(unit) + 1))[
            : server.body_bytes
        ]
    return b''.join(
        b'id: %d\ndata: %b %b %d/%d\n\n'
        % (
            number,
            request_id.encode(),
            b'x' * server.body_bytes,
            number,
            server.events,
        )
        for number in range(1, server.events + 1)
    )


def make_head(conversation: Conversation, request_id: str, size: int) -> bytes:
    """Return the head of an answer with a body of `size` bytes."""
    server = conversation.server
    lines = [
        'HTTP/1.1 200 OK',
        f'X-Pollenloom-Attempt-Id: {request_id}',
        'X-Pollenloom-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1',
    ]
    if conversation.client.route is RouteChoice.STREAM:
        lines.append('Content-Type: text/event-stream')
    if server.framing is Framing.LENGTH:
        lines.append(f'Content-Length: {size}')
    elif server.framing is Framing.CHUNKED:
        lines.append('Transfer-Encoding: chunked')
    if server.fate is Fate.LEFT:
        lines.append('Server-Leaving: 1')
    if closes_connection(conversation):
        lines.append('Connection: close')
    return '\r\n'.join((*lines, '', '')).encode()


def closes_connection(conversation: Conversation) -> bool:
    """Whether the server announces that it closes the connection."""
    server = conversation.server
    return server.framing is Framing.CLOSE or server.end is ConnectionEnd.CLOSE


def split(content: bytes, size: int) -> list[bytes]:
    """Return a content in parts of a size; 0 for one part."""
    step = size or max(1, len(content))
    return [
        content[start : start + step] for start in range(0, len(content), step)
    ]


def make_answer(conversation: Conversation, request_id: str) -> bytes:
    """Return a whole answer."""
    server = conversation.server
    content = make_content(conversation, request_id)
    head = make_head(conversation, request_id, len(content))
    if server.framing is not Framing.CHUNKED:
        return head + content
    chunks = map(chunk, split(content, server.chunk_bytes))
    return head + b''.join(chunks) + LAST_CHUNK


def make_broken_off(conversation: Conversation, request_id: str) -> bytes:
    """Return the part of an answer that the server writes."""
    server = conversation.server
    is_stream = conversation.client.route is RouteChoice.STREAM
    answer = make_answer(conversation, request_id)
    if is_stream and server.missing_events:
        content = make_content(conversation, request_id)
        events = content.split(EVENT_END)[: -server.missing_events - 1]
        answer = make_head(conversation, request_id, len(content))
        if server.framing is Framing.CHUNKED:
            answer += b''.join(chunk(each + EVENT_END) for each in events)
        else:
            answer += b''.join(each + EVENT_END for each in events)
    return answer[: len(answer) - server.missing_bytes]


def make_bytes(conversation: Conversation, request_id: str) -> bytes:
    """Return all that the server writes, but for an endless body."""
    server = conversation.server
    answer = make_answer(conversation, request_id)
    written = make_broken_off(conversation, request_id)
    match server.extra:
        case Extra.INTERIM:
            return INTERIM_RESPONSE + written
        case Extra.EARLIER:
            return make_answer(conversation, EARLIER_ID) + written
        case Extra.COPY:
            return written + answer
        case Extra.OTHER:
            return written + make_answer(conversation, OTHER_ID)
        case Extra.GARBAGE:
            return written + GARBAGE
        case Extra.NONE:
            return written


def make_endless(
    conversation: Conversation, request_id: str
) -> tuple[bytes, bytes]:
    """Return the start of an endless answer and what is repeated."""
    server = conversation.server
    head = make_head(conversation, request_id, 2**40)
    part = b'x' * server.chunk_bytes
    if conversation.client.route is RouteChoice.STREAM and server.events > 1:
        part = b'data: %b\n\n' % part
    if server.framing is Framing.CHUNKED:
        part = chunk(part)
    return head, part * max(1, REPEATED_BYTES // len(part))
