"""Servers that write an answer twice, the second time late."""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field

import pytest

from pollenloom_standins.worker.responses import chunk
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    RouterEnvironment,
    event,
    make_configuration,
)

CALLERS = 8
REQUESTS = 25
# Longest time after which an answer is written, and written once more.
MAX_DELAY_SECONDS = 0.03
COPIED_SHARE = 0.7
FAILED_STATUS = 500
REFUSED_STATUS = 503
STATUSES = (200, 200, FAILED_STATUS, REFUSED_STATUS)


@dataclass(slots=True)
class StutteringServers:
    """Draws the answers of servers, and when they write them again.

    Attributes:
        texts: Texts of the answers to each request, by its id, in the order of
            sending.
    """

    random: random.Random
    texts: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )

    async def respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request; perhaps write the answer once more later."""
        request_id = request.headers['x-pollenloom-attempt-id']
        status = self.random.choice(STATUSES)
        texts = self.texts[request_id]
        texts.append(f'{request_id}/{len(texts)}/{status}')
        is_stream = '/resume/' in request.start_line
        answer = render(request_id, status, texts[-1], is_stream=is_stream)
        await asyncio.sleep(self.random.random() * MAX_DELAY_SECONDS)
        writer.write(answer)
        await writer.drain()
        if self.random.random() < COPIED_SHARE:
            delay = self.random.random() * MAX_DELAY_SECONDS
            loop = asyncio.get_running_loop()
            loop.call_later(delay, write_again, writer, answer)


def write_again(writer: asyncio.StreamWriter, answer: bytes) -> None:
    """Write an answer once more, unless the connection is closed."""
    if not writer.is_closing():
        writer.write(answer)


def render(
    request_id: str, status: int, text: str, *, is_stream: bool
) -> bytes:
    """Return the bytes of an answer."""
    head = (
        f'HTTP/1.1 {status} S\r\nX-Pollenloom-Attempt-Id: {request_id}\r\n'
        'X-Pollenloom-Response-Seal: seal\r\n'
    )
    if status == REFUSED_STATUS:
        head += 'X-Pollenloom-Not-Executed: 1\r\n'
    if status == 200 and is_stream:
        head += 'Content-Type: text/event-stream\r\n'
        head += 'Transfer-Encoding: chunked\r\n\r\n'
        body = chunk(event(1).replace(b'word', text.encode()) + event(2))
        return head.encode() + body + b'0\r\n\r\n'
    return f'{head}Content-Length: {len(text)}\r\n\r\n{text}'.encode()


async def find_wrong(
    environment: RouterEnvironment,
    servers: StutteringServers,
    path: str,
    caller_number: int,
) -> list[str]:
    """Send requests one after the other; return answers that are wrong."""
    wrong = []
    for number in range(REQUESTS):
        request_id = f'{caller_number}-{number}'
        caller = await environment.connect()
        response = await caller.fetch(path, request_id=request_id)
        is_of_server = response.status in {200, FAILED_STATUS}
        latest = servers.texts[request_id][-1:]
        if is_of_server and latest[0].encode() not in response.body:
            wrong.append(f'{latest}: {response.status} {response.body!r}')
    return wrong


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('path', ['/read/', '/resume/', '/order/'])
async def test_answer_is_that_to_the_latest_sending(
    environment: RouterEnvironment, path: str, seed: int
) -> None:
    """Guards against a copy that is taken for the answer to a request."""
    configuration = make_configuration(2)
    for route in configuration['routes']:
        route['max_attempts'] = 4
    await environment.configure(configuration)
    servers = StutteringServers(random.Random(seed))
    for _ in range(3):
        await environment.add_server(servers.respond)
    await environment.ready(3)
    found = await asyncio.gather(
        *(
            find_wrong(environment, servers, path, number)
            for number in range(CALLERS)
        )
    )
    assert found == [[] for _ in range(CALLERS)]
    assert max(map(len, servers.texts.values())) > 1 or path == '/order/'
