"""What the log tells of the responses that a router relayed."""

import asyncio
from typing import Any

import pytest

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom_standins.worker.responses import chunk
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    RouterEnvironment,
    complete_response,
    event,
    stream_head,
)

# Name, subject and fields of an event.
Recorded = tuple[str, str, dict[str, Any]]
BODY = event(1) + event(2)


def recorded(
    environment: RouterEnvironment, monkeypatch: pytest.MonkeyPatch
) -> list[Recorded]:
    """Return a list that gets name, subject and fields of all events."""
    events: list[Recorded] = []
    log = environment.kernel.find(KernelServiceName.EVENTS, EventLog)
    monkeypatch.setattr(
        log,
        'record',
        lambda name, subject, **fields: events.append((name, subject, fields)),
    )
    return events


@pytest.mark.parametrize('framing', ['length', 'chunked', 'close'])
@pytest.mark.parametrize('path', ['/read/', '/stream/'])
async def test_line_of_a_request_tells_how_its_response_ended(
    environment: RouterEnvironment,
    monkeypatch: pytest.MonkeyPatch,
    framing: str,
    path: str,
) -> None:
    """Guards against a record of a wrong success that leaves its cause open."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        head = stream_head(request)
        unframed = head.replace(b'Transfer-Encoding: chunked\r\n', b'')
        answers = {
            'length': complete_response(request, BODY),
            'chunked': head + chunk(BODY) + b'0\r\n\r\n',
            'close': unframed + BODY,
        }
        writer.write(answers[framing])
        await writer.drain()
        if framing == 'close':
            writer.close()

    await environment.add_server(respond)
    await environment.ready(1)
    events = recorded(environment, monkeypatch)
    for request_id in ('first', 'second'):
        caller = await environment.connect()
        await caller.fetch(path, request_id=request_id)
    traces = {
        subject: (
            fields['framing'],
            fields['kept_connection'],
            fields['body_bytes'],
        )
        for name, subject, fields in events
        if name == EventName.REQUEST_ENDED
    }
    assert traces['first'] == (framing, False, len(BODY))
    assert traces['second'][0] == framing
    assert traces['second'][1] is (framing != 'close')


async def test_second_response_leaves_a_line(
    environment: RouterEnvironment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against servers that answer twice and leave no trace of it."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(complete_response(request))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(complete_response(request))

    await environment.add_server(respond)
    await environment.ready(1)
    events = recorded(environment, monkeypatch)
    caller = await environment.connect()
    await caller.fetch('/read/', request_id='twice')

    expected = (
        EventName.BYTES_UNREQUESTED,
        'i-0',
        {'where': 'idle', 'request': 'twice'},
    )
    await environment.wait_for(lambda: expected in events)
