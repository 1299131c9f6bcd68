"""HTTP headers as lists of names and values."""

from collections.abc import Iterable
from typing import Final

# Names in lower case, values as received.
Header = tuple[bytes, bytes]

CONNECTION: Final = b'connection'
CONTENT_LENGTH: Final = b'content-length'
CONTENT_TYPE: Final = b'content-type'
TRANSFER_ENCODING: Final = b'transfer-encoding'
KEEP_ALIVE: Final = b'keep-alive'
# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP: Final = frozenset(
    (
        CONNECTION,
        KEEP_ALIVE,
        TRANSFER_ENCODING,
        CONTENT_LENGTH,
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'upgrade',
        b'http2-settings',
        b'expect',
    )
)
# A day. Idle connections are closed much earlier by servers, and by networks
# between, and many digits would make the time infinite.
MAX_KEEP_ALIVE_SECONDS: Final = 86_400.0
LINE_END: Final = b'\r\n'


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header with a lower-case name."""
    return next((value for key, value in headers if key == name), None)


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers to forward, without the hop-by-hop ones."""
    return [header for header in headers if header[0] not in HOP_BY_HOP]


def render(start_line: bytes, headers: Iterable[Header]) -> bytes:
    """Return the encoded head of a message, with the final empty line."""
    lines = [start_line]
    lines.extend(b'%s: %s' % header for header in headers)
    lines.append(LINE_END)
    return LINE_END.join(lines)


def keep_alive_seconds(headers: Iterable[Header]) -> float | None:
    """Return the timeout of the Keep-Alive header; None if not stated."""
    value = find_header(headers, KEEP_ALIVE) or b''
    for part in value.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            return min(float(seconds), MAX_KEEP_ALIVE_SECONDS)
    return None
