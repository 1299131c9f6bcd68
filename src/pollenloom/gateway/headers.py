"""Header lists as they stand on the wire."""

from collections.abc import Iterable
from typing import Final

# Names in lower case, values as received.
Header = tuple[bytes, bytes]

CONNECTION: Final = b'connection'
CONTENT_LENGTH: Final = b'content-length'
TRANSFER_ENCODING: Final = b'transfer-encoding'
KEEP_ALIVE: Final = b'keep-alive'
# They concern one connection only.
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
        b'expect',
    )
)
LINE_END: Final = b'\r\n'


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header of that name."""
    return next((text for key, text in headers if key == name), None)


def end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that are passed on."""
    return [header for header in headers if header[0] not in HOP_BY_HOP]


def render(start_line: bytes, headers: Iterable[Header]) -> bytes:
    """Return the head of a message, with its empty line."""
    lines = [start_line]
    lines.extend(b'%s: %s' % header for header in headers)
    lines.append(LINE_END)
    return LINE_END.join(lines)


def keep_alive_seconds(headers: Iterable[Header]) -> float | None:
    """Return how long the other side keeps an idle connection, if told."""
    text = find(headers, KEEP_ALIVE) or b''
    for part in text.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            return float(seconds)
    return None
