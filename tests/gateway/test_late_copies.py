"""Answers that a server writes a second time, when the next one is due."""

import asyncio

import pytest

from pollenloom_standins.worker.responses import chunk
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    RouterEnvironment,
    complete_response,
    event,
    stream_head,
)

ANSWERS = 6
ID_HEADER = b'X-Pollenloom-Attempt-Id'


def without_id(response: bytes) -> bytes:
    """Return a response that does not say to which request it belongs."""
    return response.replace(ID_HEADER, b'X-Other')


def make_answer(request: ReceivedRequest) -> bytes:
    """Return the answer of a request, which holds its id."""
    request_id = request.headers['x-pollenloom-attempt-id'].encode()
    if '/stream/' in request.start_line:
        events = event(1).replace(b'word', request_id) + event(2)
        return stream_head(request) + chunk(events) + b'0\r\n\r\n'
    return complete_response(request, request_id)


@pytest.mark.parametrize('path', ['/read/', '/order/', '/stream/'])
@pytest.mark.parametrize('has_id', [True, False])
@pytest.mark.parametrize('delay', [0, 0.02])
async def test_copy_of_an_answer_goes_to_no_other_caller(
    environment: RouterEnvironment, path: str, has_id: bool, delay: float
) -> None:
    """Guards against an answer that isn't the caller's own.

    The server writes the answer before once more on a connection that is in
    use again, with or without the id of its request.
    """
    answers: dict[asyncio.StreamWriter, bytes] = {}

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Write a copy of the answer before, then the answer."""
        copy = answers.get(writer, b'')
        writer.write(copy if has_id else without_id(copy))
        await writer.drain()
        await asyncio.sleep(delay)
        answers[writer] = make_answer(request)
        writer.write(answers[writer])
        await writer.drain()

    await environment.add_server(respond)
    await environment.ready(1)
    served = 0
    for number in range(ANSWERS):
        caller = await environment.connect()
        request_id = f'own-{number}'
        response = await caller.fetch(path, request_id=request_id)
        if response.status == 200 and response.is_complete:
            served += 1
            assert request_id.encode() in response.body
            assert response.headers['x-pollenloom-attempt-id'] == request_id
    assert served >= (ANSWERS / 2 if has_id else 1)
