"""Malformed and malicious input: error responses instead of crashes."""

import asyncio
import re
from http import HTTPStatus

import aiohttp
import msgspec
import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from sanic.config import Config
from yarl import URL

from tests.fakes.caller_router import CallerRouter
from tests.fakes.fixed_configuration import KEY

BACKSLASH = bytes((92,))
CHAT = b'/v1/chat/completions'
HEAD = (
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
    b'Authorization: Bearer %b\r\n' % KEY.encode()
)
LENGTH = b'Content-Length: 999\r\n\r\n'
CLIENT_ERRORS = range(400, 500)
RESET_ATTEMPTS = 5
# Heads that are valid requests for the probes, which need no key.
PROBE = re.compile(rb'GET /(healthz|readyz) HTTP/1[.][01](\r\n)*')
json_texts = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(('model', 'messages', 'stream', 'n', 'max_tokens')),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)

fuzz_settings = settings(
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


async def exchange(router: CallerRouter, sent: bytes) -> bytes:
    """Send bytes on a new connection and return the first response."""
    host, port = router.callers.address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    async with asyncio.timeout(10):
        head = await reader.readuntil(b'\r\n\r\n')
        length = re.search(rb'content-length: (\d+)', head.lower())
        assert length is not None
        body = await reader.readexactly(int(length[1]))
    writer.close()
    return head + body


def check_problem(response: bytes) -> int:
    """Check that a response has problem details; return its status."""
    head, _, body = response.partition(b'\r\n\r\n')
    assert b'application/problem+json' in head, response
    problem = msgspec.json.decode(body)
    assert problem['type'] == f'urn:pollenloom:error:{problem["kind"]}'
    assert problem['run'] == 'no'
    status: int = problem['status']
    assert head.startswith(b'HTTP/1.1 %d ' % status)
    return status


@fuzz_settings
@given(st.binary(max_size=200))
@example(b'GET //\xff HTTP/1.1')
@example(b'GET http://[ HTTP/1.1')
@example(b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03')
async def test_hostile_head(router: CallerRouter, head: bytes) -> None:
    """Guards against a request head that stops the server."""
    response = await exchange(router, head + b'\r\n\r\n')
    if PROBE.fullmatch(head):
        assert response.startswith(b'HTTP/1.1 200')
    else:
        assert check_problem(response) in CLIENT_ERRORS
    response = await exchange(router, b'GET /healthz HTTP/1.1\r\n\r\n')
    assert response.startswith(b'HTTP/1.1 200')


@fuzz_settings
@given(
    st.binary(max_size=300) | json_texts.map(msgspec.json.encode),
    st.sampled_from((CHAT, b'/v1/completions')),
)
@example(b'[' * 100_000, b'/v1/completions')
@example(
    b'{"model": "drafts", "messages": [1], "max_tokens": 1e400}',
    b'/v1/completions',
)
@example(b'{"model": "%bud800", "messages": [{}]}' % BACKSLASH, CHAT)
async def test_hostile_body(
    router: CallerRouter, body: bytes, path: bytes
) -> None:
    """Guards against a body that stops the server or reaches an engine."""
    head = HEAD.replace(CHAT, path)
    length = b'Connection: close\r\nContent-Length: %d\r\n\r\n' % len(body)
    response = await exchange(router, head + length + body)
    assert check_problem(response) in CLIENT_ERRORS
    assert not router.backends[0].received


@pytest.mark.parametrize(
    'head',
    [
        b'X-Timeout-Seconds: nan\r\n',
        b'X-Timeout-Seconds: -1\r\n',
        b'X-Evil: a\rb\r\n',
        b'X-Evil: \xff\r\n',
        b'X Evil: a\r\n',
        b'Idempotency-Key: \r\n',
        b'traceparent: zz\r\n',
        b'Transfer-Encoding: chunked\r\n',
    ],
)
async def test_hostile_header(router: CallerRouter, head: bytes) -> None:
    """Guards against headers that a backend server may read differently."""
    body = b'{"model": "drafts", "messages": [{}]}'
    length = b'Connection: close\r\nContent-Length: %d\r\n\r\n' % len(body)
    response = await exchange(router, HEAD + head + length + body)
    assert check_problem(response) == HTTPStatus.BAD_REQUEST
    assert not router.backends[0].received


@pytest.mark.parametrize(
    'path',
    [
        '/stitching/lots/../orders',
        '/stitching/lots/%2e%2e/orders',
        '/stitching/lots//orders',
        '/stitching/lots/a%0ab',
        '/stitching/%00',
        '/none/lots/4',
        '/drafts/v1/chat/completions',
    ],
)
async def test_hostile_path(
    router: CallerRouter,
    http: aiohttp.ClientSession,
    path: str,
) -> None:
    """Guards against a path that a backend server maps to another route."""
    url = f'{router.url}{path}'
    response = await http.get(URL(url, encoded=True))
    assert response.status in {400, 404}
    assert (await response.json(content_type=None))['run'] == 'no'
    assert not router.backends[0].received


async def test_limits(router: CallerRouter) -> None:
    """Guards against unbounded memory for long heads and bodies.

    Sanic stores the header limit in a class, so another configuration in the
    process could change it.
    """
    assert Config().REQUEST_MAX_HEADER_SIZE == 8192
    allowed_head = b'X-Long: %b\r\n\r\n' % (b'a' * 12_000)
    response = await exchange(router, HEAD + allowed_head)
    assert check_problem(response) == HTTPStatus.BAD_REQUEST
    long_head = b'X-Long: %b\r\n\r\n' % (b'a' * 20_000)
    response = await exchange(router, HEAD + long_head)
    assert check_problem(response) == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    long_body = b'Content-Length: 2000000\r\n\r\n' + b'a' * 2_000_000
    response = await exchange(router, HEAD + long_body)
    assert check_problem(response) == HTTPStatus.REQUEST_ENTITY_TOO_LARGE


@pytest.mark.parametrize('part', [b'', HEAD, HEAD + LENGTH])
async def test_slow_request(router: CallerRouter, part: bytes) -> None:
    """Guards against connections held by requests that never complete.

    A byte that arrives after the server has closed the connection resets it,
    and the response may be lost; then another connection is tried.
    """
    for _ in range(RESET_ATTEMPTS):
        response = await read_while_sending_slowly(router, part)
        if response:
            break
    check_problem(response)


async def read_while_sending_slowly(router: CallerRouter, part: bytes) -> bytes:
    """Return the response to a slow request; empty after a reset."""
    host, port = router.callers.address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    sender = asyncio.create_task(send_slowly(writer, part or b'GET'))
    try:
        async with asyncio.timeout(20):
            return await reader.read()
    except ConnectionResetError:
        return b''
    finally:
        sender.cancel()
        writer.close()


async def send_slowly(writer: asyncio.StreamWriter, part: bytes) -> None:
    """Send a part of a request, then a byte every 0.1 s."""
    writer.write(part)
    while not writer.is_closing():
        await asyncio.sleep(0.1)
        writer.write(b'a')


async def test_probe_of_an_old_protocol_version(router: CallerRouter) -> None:
    """Guards against a probe that is taken for a malformed request."""
    response = await exchange(router, b'GET /readyz HTTP/1.0\r\n\r\n')
    assert response.startswith(b'HTTP/1.1 200')
