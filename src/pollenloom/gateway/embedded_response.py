"""Finds responses of backend servers inside another one."""

import itertools
import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.headers import Header, find_header
from pollenloom.gateway.server_event import ResponseHead

STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] \d{3}')
HEAD_END: Final = re.compile(rb'\r?\n\r?\n')
# Heads of servers have a few hundred bytes.
MAX_HEAD_BYTES: Final = 4096
# A body that quotes more status lines is not searched further, which bounds the
# time for any body.
MAX_STATUS_LINES: Final = 100


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
    status_lines = itertools.islice(
        STATUS_LINE.finditer(content), MAX_STATUS_LINES
    )
    return any(
        is_server_head(
            content[found.start() : found.start() + MAX_HEAD_BYTES],
            header_codec,
        )
        for found in status_lines
    )


def is_server_head(content: bytes, header_codec: HeaderCodec) -> bool:
    """Whether bytes start with the head of a backend server's response."""
    end = HEAD_END.search(content)
    if end is None:
        return False
    split = [
        line.partition(b':') for line in content[: end.start()].split(b'\n')
    ]
    headers = tuple((name.lower(), text.strip()) for name, _, text in split)
    head = ResponseHead(HTTPStatus.OK, headers, is_framed=True)
    has_id = find_header(headers, header_codec.id_header) is not None
    return has_id or header_codec.is_sealed(head)
