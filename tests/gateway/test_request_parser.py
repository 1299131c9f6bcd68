"""Limits on the requests of callers.

Guards against requests that run with a part of their body, and against input
that is kept without a limit.
"""

import asyncio
from collections.abc import Callable
from itertools import repeat

import pytest

from pollenloom.core.error_kind import ErrorKind
from pollenloom.gateway.request_parser import CONTINUE_RESPONSE, RequestParser
from pollenloom.kernel.clock import Clock
from pollenloom.routing.caller_limits import CallerLimits
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    CallerConnection,
    RouterEnvironment,
    complete_response,
    make_configuration,
)

BODY_LIMIT = 1024
HEAD_LIMIT = 512
# What input without an end may take in memory, beyond one read of it.
ENDLESS_PARTS = 64

Parse = Callable[..., RequestParser]


def head(*lines: str) -> bytes:
    """Return the head of a request with additional header lines."""
    start = ('POST /order/1 HTTP/1.1', 'Host: shop.example')
    return '\r\n'.join((*start, *lines, '', '')).encode()


def order(body: bytes) -> bytes:
    """Return a request with a body of known length."""
    return head(f'Content-Length: {len(body)}') + body


def chunked(*parts: bytes, end: bytes = b'0\r\n\r\n') -> bytes:
    """Return a request with a chunked body."""
    chunks = [b'%x\r\n%b\r\n' % (len(part), part) for part in parts]
    return head('Transfer-Encoding: chunked') + b''.join(chunks) + end


@pytest.fixture
def limits() -> list[CallerLimits]:
    """The limits in force; a test may replace them between two reads."""
    return [CallerLimits(header_bytes=HEAD_LIMIT, body_bytes=BODY_LIMIT)]


@pytest.fixture
def parse(limits: list[CallerLimits]) -> Parse:
    """A function that parses reads with a new parser and returns it."""

    def parse_reads(*reads: bytes) -> RequestParser:
        parser = RequestParser(Clock(), lambda: limits[0])
        for read in reads:
            parser.feed(read)
        return parser

    return parse_reads


def failure_kind(parser: RequestParser) -> ErrorKind | None:
    """Return why the parser failed, if it did."""
    return None if parser.failure is None else parser.failure.kind


@pytest.mark.parametrize('size', [0, 1, BODY_LIMIT])
@pytest.mark.parametrize('encode', [order, chunked])
def test_body_within_the_limit_is_kept_whole(
    parse: Parse,
    encode: Callable[[bytes], bytes],
    size: int,
) -> None:
    body = b'w' * size
    parser = parse(encode(body) if body else order(body))
    assert failure_kind(parser) is None
    assert [request.body for request in parser.requests] == [body]


@pytest.mark.parametrize('encode', [order, chunked])
@pytest.mark.parametrize('cut', [0, 200, BODY_LIMIT + 100])
def test_body_above_the_limit_is_rejected_however_it_is_read(
    parse: Parse,
    encode: Callable[[bytes], bytes],
    cut: int,
) -> None:
    # In one read the request ran with an empty body; in two reads of which the
    # last one exceeded the limit, with the part from the first.
    request = encode(b'w' * (BODY_LIMIT + 200))
    split = len(request) - cut
    parser = parse(*filter(None, (request[:split], request[split:])))
    assert not parser.requests
    assert failure_kind(parser) is ErrorKind.BODY_TOO_LARGE


def test_parts_of_a_chunked_body_count_together(parse: Parse) -> None:
    parser = parse(chunked(b'w' * BODY_LIMIT, b'w'))
    assert not parser.requests
    assert failure_kind(parser) is ErrorKind.BODY_TOO_LARGE


def test_request_keeps_the_limit_that_was_in_force_at_its_head(
    parse: Parse,
    limits: list[CallerLimits],
) -> None:
    # A limit that rises while a body is read must not let through its rest.
    body = b'w' * (BODY_LIMIT // 2) + b'x' * BODY_LIMIT
    request = chunked(body)
    parser = parse(request[: BODY_LIMIT // 4])
    limits[0] = CallerLimits(header_bytes=HEAD_LIMIT, body_bytes=4 * BODY_LIMIT)
    parser.feed(request[BODY_LIMIT // 4 :])
    assert not parser.requests
    assert failure_kind(parser) is ErrorKind.BODY_TOO_LARGE


def test_request_behind_a_rejected_one_is_not_read(parse: Parse) -> None:
    parser = parse(
        order(b'first') + order(b'w' * (BODY_LIMIT + 1)) + order(b'third')
    )
    assert [request.body for request in parser.requests] == [b'first']
    assert failure_kind(parser) is ErrorKind.BODY_TOO_LARGE


def test_known_length_above_the_limit_is_rejected_before_the_body(
    parse: Parse,
) -> None:
    parser = parse(
        head(f'Content-Length: {BODY_LIMIT + 1}', 'Expect: 100-continue')
    )
    assert failure_kind(parser) is ErrorKind.BODY_TOO_LARGE
    assert parser.interim_response != CONTINUE_RESPONSE


@pytest.mark.parametrize('before', [b'', order(b'first')])
@pytest.mark.parametrize('reads', [1, 2])
def test_head_above_the_limit_is_rejected_however_it_is_read(
    parse: Parse,
    before: bytes,
    reads: int,
) -> None:
    request = head(f'X-Note: {"n" * HEAD_LIMIT}', 'Content-Length: 0')
    sent = before + request
    split = len(sent) // reads
    parser = parse(*filter(None, (sent[:split], sent[split:])))
    assert len(parser.requests) == (1 if before else 0)
    assert failure_kind(parser) is ErrorKind.HEADER_TOO_LARGE


def test_head_of_exactly_the_limit_is_read(parse: Parse) -> None:
    empty = len(head('X-Note: ', 'Content-Length: 0'))
    note = f'X-Note: {"n" * (HEAD_LIMIT - empty)}'
    request = head(note, 'Content-Length: 0')
    assert len(request) == HEAD_LIMIT
    assert len(parse(request + request).requests) == 2


@pytest.mark.parametrize(
    'part',
    [
        pytest.param(b'X-Note: trailer\r\n', id='trailers'),
        pytest.param(b'x' * 100, id='one trailer'),
    ],
)
def test_endless_trailers_are_rejected(parse: Parse, part: bytes) -> None:
    # Trailers were kept as headers of the request, without a limit.
    parser = parse(chunked(b'w', end=b'0\r\n'), *repeat(part, ENDLESS_PARTS))
    assert not parser.requests
    assert failure_kind(parser) is ErrorKind.HEADER_TOO_LARGE


def test_endless_chunk_extension_is_rejected(parse: Parse) -> None:
    start = head('Transfer-Encoding: chunked') + b'1;note='
    parser = parse(start, *repeat(b'n' * 100, ENDLESS_PARTS))
    assert failure_kind(parser) is ErrorKind.HEADER_TOO_LARGE


def test_body_in_small_chunks_is_read(parse: Parse) -> None:
    parts = tuple(repeat(b'w', BODY_LIMIT))
    parser = parse(*chunked(*parts).splitlines(keepends=True))
    assert failure_kind(parser) is None
    assert parser.requests[0].body == b''.join(parts)


def test_trailers_are_not_headers_of_the_request(parse: Parse) -> None:
    # A trailer must not add a header that routing and authorisation read.
    parser = parse(chunked(b'w', end=b'0\r\nApi-Key: other\r\n\r\n'))
    assert b'api-key' not in dict(parser.requests[0].headers)
    assert parser.requests[0].body == b'w'


OFFER = ('Connection: Upgrade, HTTP2-Settings', 'Upgrade: h2c')


@pytest.mark.parametrize('part_bytes', [1, 7, 1000])
@pytest.mark.parametrize('size', [0, 1, 300])
@pytest.mark.parametrize('is_chunked', [False, True])
def test_offer_of_another_protocol_leaves_the_body_whole(
    parse: Parse, size: int, part_bytes: int, *, is_chunked: bool
) -> None:
    """Guards against an order that runs without its body.

    The parser stops behind the head of a request with such an offer, and what
    followed it was taken for a request that got a 400 of its own.
    """
    body = b'w' * size
    offer = head(*OFFER, f'Content-Length: {size}') + body
    if is_chunked:
        chunks = b'%x\r\n%b\r\n' % (size, body) if size else b''
        offer = head(*OFFER, 'Transfer-Encoding: chunked') + chunks
        offer += b'0\r\n\r\n'
    content = offer + order(b'next') + offer
    parser = parse(
        *(
            content[start : start + part_bytes]
            for start in range(0, len(content), part_bytes)
        )
    )
    assert parser.failure is None
    assert [request.body for request in parser.requests] == [
        body,
        b'next',
        body,
    ]
    assert {request.target for request in parser.requests} == {b'/order/1'}
    assert {request.method for request in parser.requests} == {b'POST'}
    assert all(request.keeps_alive for request in parser.requests)
    assert (b'upgrade', b'h2c') in parser.requests[0].headers


def test_offer_of_another_protocol_keeps_the_end_of_the_connection(
    parse: Parse,
) -> None:
    """Guards against a connection that is kept though the caller closes it."""
    lines = ('Connection: Upgrade, close', 'Upgrade: h2c')
    parser = parse(head(*lines, 'Content-Length: 4') + b'last')
    assert not parser.requests[0].keeps_alive


def test_offer_of_another_protocol_keeps_the_limits(parse: Parse) -> None:
    """Guards against bodies without a limit behind such an offer."""
    size = BODY_LIMIT + 1
    chunks = b'%x\r\n%b\r\n' % (size, b'w' * size)
    parser = parse(head(*OFFER, 'Transfer-Encoding: chunked') + chunks)
    assert failure_kind(parser) is ErrorKind.BODY_TOO_LARGE
    assert not parser.requests


def test_request_for_a_tunnel_is_refused(parse: Parse) -> None:
    """Guards against a CONNECT that is passed on as a request."""
    parser = parse(b'CONNECT shop.example:80 HTTP/1.1\r\nHost: a\r\n\r\n')
    assert failure_kind(parser) is ErrorKind.INVALID_REQUEST
    assert not parser.requests


async def echo(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with the body of the request."""
    writer.write(complete_response(request, request.body))
    await writer.drain()


async def send_sizes(
    caller: CallerConnection, sizes: tuple[int, ...]
) -> list[tuple[int, int]]:
    """Return the size of each body and the status of its response."""
    seen = []
    for number, size in enumerate(sizes):
        response = await caller.fetch(
            '/order/1', request_id=f'o{number}', body=b'w' * size
        )
        seen.append((size, response.status))
        if response.status == 200:
            assert response.body == b'w' * size
    return seen


async def test_order_above_the_limit_never_reaches_a_server(
    environment: RouterEnvironment,
) -> None:
    # An order ran with an empty body, and its caller got status 200.
    limits = {'max_body_bytes': BODY_LIMIT, 'max_header_bytes': 16_384}
    await environment.configure({**make_configuration(2), 'limits': limits})
    server = await environment.add_server(echo)
    await environment.ready(1)
    catalogue = environment.gateway.catalogue
    await environment.wait_for(
        lambda: (
            catalogue.configuration is not None
            and catalogue.configuration.revision == 2
        )
    )
    for size, status in ((600, 200), (3600, 413), (200_000, 413)):
        caller = await environment.connect()
        assert await send_sizes(caller, (100, size)) == [
            (100, 200),
            (size, status),
        ]
    assert {len(request.body) for request in server.requests} == {100, 600}


async def test_caller_that_still_sends_gets_the_refusal(
    environment: RouterEnvironment,
) -> None:
    # The connection was reset because of unread bytes, and the refusal lost.
    await environment.ready(0)
    caller = await environment.connect()
    size = 8 * make_configuration()['limits']['max_body_bytes']
    caller.writer.write(head(f'Content-Length: {size}'))
    for _ in range(8):
        caller.writer.write(b'w' * (size // 16))
        await asyncio.sleep(0.02)
    response = await caller.read()
    assert response.status == 413
    assert await caller.reader.read() == b''
