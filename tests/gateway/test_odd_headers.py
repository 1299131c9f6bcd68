"""Numbers in headers that no sound caller or backend server sends."""

import asyncio

import pytest

from pollenloom_standins.worker.responses import sealed_response
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    CallerConnection,
    RouterEnvironment,
    complete_response,
)

ODD_NUMBERS = (
    '9' * 400,
    '9' * 5000,
    '1e308',
    '1e400',
    'inf',
    '-inf',
    'nan',
    '-1',
    '-1e308',
    '0',
    '0.0000001',
    '1_0',
    '\u00b2',
    '0x10',
    '18446744073709551616',
    '',
    ',',
)
REQUEST_HEADERS = (
    'x_pollenloom_token_usage',
    'x_pollenloom_length_hint',
    'x_pollenloom_prompt_prefix',
    'x_pollenloom_deadline_ms',
)
RESPONSE_HEADERS = ('Keep-Alive', 'Server-Limit', 'X-Pollenloom-Cold-Ms')
# Limits of a server that the router keeps to, by not sending to it.
LOW_LIMITS = frozenset(('-1', '-1e308', '0', '0.0000001'))
STATUSES = frozenset((200, 503, 504))


class OddServer:
    """Server that sends one more header, as long as one is set."""

    def __init__(self) -> None:
        self.extra = b''

    async def respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Respond with the header."""
        request_id = request.headers['x-pollenloom-attempt-id']
        writer.write(sealed_response(request_id, b'done', extra=self.extra))
        await writer.drain()


@pytest.fixture
def server() -> OddServer:
    """The only server."""
    return OddServer()


@pytest.fixture
async def caller(
    environment: RouterEnvironment, server: OddServer
) -> CallerConnection:
    """A caller of a router with one server."""
    await environment.add_server(server.respond)
    await environment.ready(1)
    return await environment.connect()


def odd_texts(name: str) -> list[str]:
    """Return values of a request header with an odd number in each place."""
    if name == 'x_pollenloom_prompt_prefix':
        return [f'aa:{odd},bb:7,cc:{odd}' for odd in ODD_NUMBERS]
    if name == 'x_pollenloom_token_usage':
        texts = [f'{odd},{odd}' for odd in ODD_NUMBERS]
        return [*texts, *ODD_NUMBERS, *(f'7,{odd}' for odd in ODD_NUMBERS)]
    return list(ODD_NUMBERS)


@pytest.mark.parametrize('name', REQUEST_HEADERS)
async def test_odd_request_header_is_survived(
    environment: RouterEnvironment, caller: CallerConnection, name: str
) -> None:
    """Guards against a request without an answer, and harm to the next."""
    for number, text in enumerate(odd_texts(name)):
        response = await caller.fetch(
            '/read/x',
            request_id=f'odd-{number}',
            method='GET',
            **{name: text.encode().decode('latin-1')},
        )
        assert response.status in STATUSES, text
        sound = await caller.fetch(
            '/read/x',
            request_id=f'sound-{number}',
            method='GET',
            x_pollenloom_token_usage='100,10',
        )
        assert sound.status == 200, text


@pytest.mark.parametrize('name', RESPONSE_HEADERS)
async def test_odd_response_header_is_survived(
    environment: RouterEnvironment,
    caller: CallerConnection,
    server: OddServer,
    name: str,
) -> None:
    """Guards against a server that is lost for a number in its answer."""
    for number, odd in enumerate(ODD_NUMBERS):
        if name == 'Server-Limit' and odd in LOW_LIMITS:
            continue
        value = f'timeout={odd}' if name == 'Keep-Alive' else odd
        server.extra = f'{name}: {value}\r\n'.encode()
        response = await caller.fetch(
            '/read/x', request_id=f'odd-{number}', method='GET'
        )
        assert response.status == 200, odd
        server.extra = b''
        sound = await caller.fetch(
            '/read/x', request_id=f'sound-{number}', method='GET'
        )
        assert sound.status == 200, odd


MALFORMED = (
    b'Content-Length: 99999999999999999999999\r\n\r\n',
    b'Content-Length: -1\r\n\r\n',
    b'Content-Length: 0x4\r\n\r\ndone',
    b'Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone',
    b'Transfer-Encoding: chunked\r\n\r\nffffffffffffffffffff\r\ndone\r\n',
    b'Transfer-Encoding: chunked\r\n\r\n-4\r\ndone\r\n0\r\n\r\n',
    b'Transfer-Encoding: chunked\r\n\r\n4 4\r\ndone\r\n0\r\n\r\n',
    b'Transfer-Encoding: chunked\r\n\r\n\xd9\xa4\r\ndone\r\n0\r\n\r\n',
)


@pytest.mark.parametrize('ending', MALFORMED)
async def test_odd_length_reaches_no_caller(
    environment: RouterEnvironment, ending: bytes
) -> None:
    """Guards against a malformed length that is passed on or not answered."""
    is_odd = True

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not is_odd:
            writer.write(complete_response(request))
            await writer.drain()
            return
        request_id = request.headers['x-pollenloom-attempt-id']
        head = (
            'HTTP/1.1 200 OK\r\nX-Pollenloom-Response-Seal: s\r\n'
            f'X-Pollenloom-Attempt-Id: {request_id}\r\n'
        )
        writer.write(head.encode() + ending)
        await writer.drain()

    await environment.add_server(respond)
    await environment.ready(1)
    caller = await environment.connect()
    response = await caller.fetch('/read/x', request_id='odd', method='GET')
    assert response.status >= 500 or not response.is_complete
    is_odd = False
    caller = await environment.connect()
    sound = await caller.fetch('/read/x', request_id='sound', method='GET')
    assert sound.status == 200
