"""Encoded messages of backend servers in the users' protocol."""

from typing import Any, Final

import msgspec

LAST_CHUNK: Final = b'0\r\n\r\n'


def sealed_response(
    request_id: str,
    body: bytes,
    status: str = '200 OK',
    extra: bytes = b'',
) -> bytes:
    """Return a response with a length.

    Args:
        request_id: Id of the attempt that it responds to.
        body: Body of the response.
        status: Status code and reason.
        extra: Further header lines, each with its line end.
    """
    head = (
        f'HTTP/1.1 {status}\r\n'
        f'X-Pollenloom-Attempt-Id: {request_id}\r\n'
        'X-Pollenloom-Response-Seal: seal\r\n'
        f'Content-Length: {len(body)}\r\n'
    )
    return b''.join((head.encode(), extra, b'\r\n', body))


def sealed_stream_head(request_id: str) -> bytes:
    """Return the head of a chunked response with an event stream."""
    return (
        'HTTP/1.1 200 OK\r\n'
        f'X-Pollenloom-Attempt-Id: {request_id}\r\n'
        'X-Pollenloom-Response-Seal: seal\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(part: bytes) -> bytes:
    """Return one chunk of a body in chunked encoding."""
    return b'%x\r\n%b\r\n' % (len(part), part)


def server_entry(address: str, **changes: Any) -> bytes:
    """Return the entry that a server writes to the store.

    Args:
        address: `host:port` of the server.
        changes: Fields that differ from the defaults below.
    """
    entry = {
        'service': 'app',
        'address': address,
        'zone': 'enschede',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'seq': 1,
        **changes,
    }
    return msgspec.json.encode(entry)
