"""Finds responses of backend servers inside another one."""

import re
from collections.abc import Iterable
from typing import Final

from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.headers import Header, find_header
from pollenloom.gateway.server_event import ResponseHead

VERSION: Final = b'HTTP/1.'
HEAD: Final = re.compile(
    rb'HTTP/1\.[01] (\d{3})[^\r\n]*\r?\n((?:[^\r\n]+\r?\n)+)\r?\n'
)
STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] \d{3}')


def is_merged_head(headers: Iterable[Header], id_header: bytes) -> bool:
    """Whether the lines of two responses were read as one head.

    A server that breaks off within a head may write another response next. Its
    status line then is a part of a header value, and there may be two ids.

    Args:
        headers: Headers as received.
        id_header: Lower-case name of the header that carries the request id.
    """
    ids = {text for name, text in headers if name == id_header}
    return len(ids) > 1 or any(STATUS_LINE.search(text) for _, text in headers)


def has_embedded_response(content: bytes, header_codec: HeaderCodec) -> bool:
    """Whether a body contains the head of a backend server's response.

    A server that writes to a connection from several tasks can put one response
    inside another one, or behind one that it has broken off. Its length may
    then still say that it is complete. A head has the seal or the request id
    of a backend server; other text that looks like HTTP is left alone.

    Args:
        content: Body of a response, or the part of a stream that starts at an
            event.
        header_codec: Knows the headers of backend servers.
    """
    if VERSION not in content:
        return False
    return any(
        is_server_head(int(found[1]), found[2], header_codec)
        for found in HEAD.finditer(content)
    )


def is_server_head(
    status: int, lines: bytes, header_codec: HeaderCodec
) -> bool:
    """Whether header lines are those of a backend server's response."""
    split = [line.partition(b':') for line in lines.splitlines()]
    headers = tuple((name.lower(), text.strip()) for name, _, text in split)
    head = ResponseHead(status, headers, is_framed=True)
    has_id = find_header(headers, header_codec.id_header) is not None
    return has_id or header_codec.is_sealed(head)
