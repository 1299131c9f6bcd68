"""Finds responses of backend servers inside another one."""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.headers import Header, find_header
from pollenloom.gateway.server_event import ResponseHead

STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] \d{3}')
STATUS_START: Final = b'HTTP/1.'
# Start of a status line at the end of a body.
CUT_STATUS_LINE: Final = re.compile(
    rb'(H|HT|HTT|HTTP|HTTP/|HTTP/1|HTTP/1\.|HTTP/1\.[01]( \d{0,2})?)\Z'
)
# Bytes at the end of one part in which a status line may begin.
UNDECIDED_BYTES: Final = len('HTTP/1.1 200') - 1
HEAD_END: Final = re.compile(rb'\n\r?\n')
# Bytes at the end of one part that may belong to the end of a head in the next
# one.
OVERLAP_BYTES: Final = len('\n\r\n') - 1
# Heads of servers have a few hundred bytes.
MAX_HEAD_BYTES: Final = 4096
# A part of a body that quotes more heads is not searched further, which bounds
# the time for any part to a few milliseconds.
MAX_HEADS_PER_PART: Final = 1000


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


class EmbeddedResponseSearch:
    """Searches a body that arrives in parts for heads of server responses.

    A server that writes to a connection from several tasks can put one response
    inside another one, or behind one that it has broken off. Its length may
    then still say that it is complete. A head has the seal or the request id
    of a backend server; other text that looks like HTTP is left alone.

    Each byte is searched once, however short the parts are.

    Attributes:
        header_codec: Knows the headers of backend servers.
        held: Bytes from a status line on whose head is not complete; without
            one, those at the end in which one may have begun.
        has_status_line: Whether `held` starts with a status line.
        has_found: Whether a head was found.
    """

    def __init__(self, header_codec: HeaderCodec) -> None:
        self.header_codec = header_codec
        self.held = bytearray()
        self.has_status_line = False
        self.has_found = False

    def feed(self, part: bytes) -> bool:
        """Search the next part; return whether a head was found so far."""
        searched_bytes = len(self.held) if self.has_status_line else 0
        self.held += part
        if not self.has_status_line and STATUS_START not in self.held:
            del self.held[:-UNDECIDED_BYTES]
            return self.has_found
        heads = 0
        while heads < MAX_HEADS_PER_PART and self.find_status_line():
            found = HEAD_END.search(
                self.held, max(0, searched_bytes - OVERLAP_BYTES)
            )
            if found is None:
                self.drop_distant_lines()
                return self.has_found
            self.check_head(found.end())
            searched_bytes = 0
            heads += 1
        del self.held[:-UNDECIDED_BYTES]
        return self.has_found

    @property
    def ends_in_head(self) -> bool:
        """Whether the body ends with the start of a head, a byte at least."""
        return (
            self.has_status_line
            or CUT_STATUS_LINE.search(self.held) is not None
        )

    def find_status_line(self) -> bool:
        """Hold the next status line first; return whether there is one."""
        if self.has_status_line:
            return True
        found = STATUS_LINE.search(self.held)
        if found is None:
            return False
        self.drop_before(found.start())
        self.has_status_line = True
        return True

    def check_head(self, end: int) -> None:
        """Evaluate the head that ends at an offset, and drop it.

        Of several status lines before the same end, the first one within the
        length of a head is taken: its head has the lines of the others too.
        """
        start = max(0, end - MAX_HEAD_BYTES)
        found = STATUS_LINE.search(self.held, start, end)
        if found is not None:
            head = bytes(self.held[found.start() : end])
            self.has_found |= is_server_head(head, self.header_codec)
        self.drop_before(end)
        self.has_status_line = False

    def drop_distant_lines(self) -> None:
        """Drop status lines that are too far before the end of a head.

        At least half of the bytes is dropped, so that this takes less time than
        it took to receive them.
        """
        if len(self.held) > 2 * MAX_HEAD_BYTES:
            self.drop_before(len(self.held) - MAX_HEAD_BYTES)
            self.has_status_line = False
            self.find_status_line()

    def drop_before(self, offset: int) -> None:
        """Drop the held bytes before an offset."""
        del self.held[:offset]


def is_server_head(content: bytes, header_codec: HeaderCodec) -> bool:
    """Whether a head is that of a backend server's response."""
    split = [line.partition(b':') for line in content.split(b'\n')]
    headers = tuple((name.lower(), text.strip()) for name, _, text in split)
    head = ResponseHead(HTTPStatus.OK, headers, is_framed=True)
    has_id = find_header(headers, header_codec.id_header) is not None
    return has_id or header_codec.is_sealed(head)
