"""Parses HTTP/1 requests and ignores offers of other protocols."""

from abc import ABC, abstractmethod
from typing import Final

import httptools

from pollenloom.gateway.headers import (
    CONNECTION,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
    render,
)

CONNECT_METHOD: Final = b'CONNECT'
# Headers that tell where the body of a request ends.
FRAMING: Final = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))


class TunnelRequestedError(ValueError):
    """A request asks for a tunnel, behind which no requests follow."""


class RequestCallbacks(ABC):
    """Receives the parts of requests; httptools calls the methods.

    Attributes:
        headers: Headers of the current request.
    """

    headers: list[Header]

    @abstractmethod
    def on_url(self, part: bytes) -> None:
        """Receive a part of the request target."""

    @abstractmethod
    def on_header(self, name: bytes, text: bytes) -> None:
        """Receive a header or a trailer."""

    @abstractmethod
    def on_headers_complete(self) -> None:
        """Learn that the head is complete."""

    @abstractmethod
    def on_body(self, part: bytes) -> None:
        """Receive a part of the body."""

    @abstractmethod
    def on_message_complete(self) -> None:
        """Learn that the request is complete."""


class Http1Parser:
    """Parses the requests of one connection.

    httptools takes a request that offers another protocol (`Upgrade`) for one
    without a body: it reports it as complete and stops behind its head. A new
    parser goes on from there, so that the offer is ignored (RFC 9110, section
    7.8). Its callbacks report the target, headers and end of the head again.

    Attributes:
        callbacks: Receives the parts of requests.
        parser: The parser in use.
    """

    def __init__(self, callbacks: RequestCallbacks) -> None:
        self.callbacks = callbacks
        self.parser = httptools.HttpRequestParser(callbacks)

    def feed(self, content: bytes) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserError: If the bytes are no requests.
            TunnelRequestedError: If a request asks for a tunnel.
        """
        rest = memoryview(content)
        while rest:
            try:
                self.parser.feed_data(rest)
            except httptools.HttpParserUpgrade as upgrade:
                self.ignore_upgrade()
                rest = rest[upgrade.args[0] :]
            else:
                return

    def ignore_upgrade(self) -> None:
        """Let a new parser read the body of the current request.

        It gets a head that has nothing but the framing of the body.

        Raises:
            TunnelRequestedError: If the request asks for a tunnel.
        """
        method = self.parser.get_method()
        if method == CONNECT_METHOD:
            raise TunnelRequestedError('CONNECT is not supported')
        framing = [
            header for header in self.callbacks.headers if header[0] in FRAMING
        ]
        if not self.parser.should_keep_alive():
            framing.append((CONNECTION, b'close'))
        version = self.parser.get_http_version().encode()
        self.parser = httptools.HttpRequestParser(self.callbacks)
        self.parser.feed_data(
            render(b'%b / HTTP/%b' % (method, version), framing)
        )

    @property
    def is_stopped(self) -> bool:
        """Whether the parser stops behind the head, and the body follows."""
        return self.parser.should_upgrade()
