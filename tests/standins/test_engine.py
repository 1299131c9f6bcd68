"""Tests of the engine stand-in."""

import asyncio
import json

import aiohttp
import openai
import pytest

from pollenloom_standins.backend.capacity_model import ColdOverload
from pollenloom_standins.backend.fencing import FencingMode
from pollenloom_standins.backend.version_behaviour import BadKind
from pollenloom_standins.commands.engine_command import EngineCommand
from pollenloom_standins.engine.token_generator import TokenGenerator
from tests.standin_runner import RunningStandin
from tests.standins.conftest import Start

TEXT_PATH = '/v1/completions'
BODY = {'model': 'minutes', 'prompt': 'draft [tokens=20]'}
STREAM = BODY | {'stream': True}
ENDLESS = STREAM | {'prompt': 'draft [tokens=99999]'}
EXPECTED = TokenGenerator('draft [tokens=20]').text()


def event_texts(text: str) -> str:
    """Return the joined tokens of a text stream."""
    events = [
        json.loads(line.removeprefix('data: '))
        for line in text.splitlines()
        if line.startswith('data: {')
    ]
    return ''.join(event['choices'][0]['text'] for event in events)


async def wait_for_running(engine: RunningStandin, count: int) -> None:
    """Wait until exactly `count` requests are in progress."""
    async with asyncio.timeout(10):
        while True:
            load = (await engine.get('/control/state'))['load']
            if load['running'] + load['waiting'] == count:
                return
            await asyncio.sleep(0.01)


async def open_streams(
    engine: RunningStandin, count: int
) -> list[aiohttp.ClientResponse]:
    """Start endless streams, which keep slots of the engine occupied."""
    return [
        await engine.session.post(engine.url + TEXT_PATH, json=ENDLESS)
        for _ in range(count)
    ]


@pytest.mark.parametrize('streaming', [False, True])
async def test_openai_client_reads_responses(
    start: Start,
    streaming: bool,
) -> None:
    """Guards against responses that differ from the published OpenAI format.

    The OpenAI client has to read both complete responses and streams.
    """
    engine = await start(EngineCommand(token_ms=1))
    client = openai.AsyncOpenAI(api_key='key', base_url=f'{engine.url}/v1')
    tokens = TokenGenerator('user: draft [tokens=20]')
    call = client.chat.completions.create
    message: openai.types.chat.ChatCompletionUserMessageParam = {
        'role': 'user',
        'content': 'draft [tokens=20]',
    }
    async with client:
        if not streaming:
            response = await call(model='m', messages=[message], max_tokens=5)
            assert response.choices[0].message.content == tokens.text(5)
            assert response.choices[0].finish_reason == 'length'
            assert response.usage is not None
            assert response.usage.completion_tokens == 5
            return
        events = [
            event
            async for event in await call(
                model='m',
                messages=[message],
                stream=True,
                stream_options={'include_usage': True},
            )
        ]
    received = [event.choices[0].delta.content for event in events[:-1]]
    assert ''.join(text or '' for text in received) == tokens.text()
    assert events[-2].choices[0].finish_reason == 'stop'
    assert events[-1].usage is not None
    assert events[-1].usage.completion_tokens == 20


async def test_resumed_stream_continues(start: Start) -> None:
    """Guards against repeated or lost tokens after a resume.

    A stream from `X-Resume-From` on has to omit exactly that many events.
    """
    engine = await start(EngineCommand(token_ms=1))
    complete = (await engine.post(TEXT_PATH, STREAM)).text
    events = complete.split('\n\n')
    for done in (0, 7, 20, 21):
        rest = await engine.post(TEXT_PATH, STREAM, X_Resume_From=str(done))
        assert event_texts(rest.text) == ''.join(
            TokenGenerator(str(BODY['prompt'])).token(index)
            for index in range(done, 20)
        )
        assert rest.text.count('\n\n') == len(events) - 1 - done
        assert rest.text.endswith('data: [DONE]\n\n')


async def test_disconnect_and_cancel_stop_a_run(start: Start) -> None:
    """Guards against runs that continue after a disconnect or cancellation."""
    engine = await start(EngineCommand(token_ms=1))
    for reason in ('disconnect', 'cancel'):
        response = await engine.session.post(
            engine.url + TEXT_PATH,
            json=ENDLESS,
            headers={'X-Request-Id': reason},
        )
        await response.content.readline()
        if reason == 'cancel':
            cancellation = await engine.post('/cancel/cancel')
            assert json.loads(cancellation.text) == {'cancelled': 1}
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.read()
        response.close()
        await wait_for_running(engine, 0)
        history = await engine.get(f'/control/history?request_id={reason}')
        assert [run['outcome'] for run in history['runs']] == ['cancelled']
        assert 0 < history['runs'][0]['tokens'] < 99999


async def test_injected_faults_break_responses(start: Start) -> None:
    """Guards against injected faults that callers cannot detect.

    A truncated or aborted response must lack its end, and its run must be
    recorded as cut.
    """
    engine = await start(EngineCommand(token_ms=1))
    await engine.set_faults(next_cut=1, events_before=4)
    cut = await engine.post(TEXT_PATH, STREAM)
    assert cut.text.count('\n\n') == 4
    assert '[DONE]' not in cut.text
    await engine.set_faults(next_died=1)
    with pytest.raises(aiohttp.ClientError):
        await engine.post(TEXT_PATH, STREAM)
    await engine.set_faults(next_cut=1)
    with pytest.raises(aiohttp.ClientError):
        await engine.post(TEXT_PATH, BODY)
    runs = (await engine.get('/control/history'))['runs']
    assert [run['outcome'] for run in runs] == ['cut', 'cut', 'cut']
    assert event_texts((await engine.post(TEXT_PATH, STREAM)).text) == EXPECTED


async def test_crossed_response_belongs_to_another_request(
    start: Start,
) -> None:
    """Guards against a crossed response with the correct id or content.

    Only the next response is crossed; the one after it is correct again.
    """
    engine = await start(EngineCommand(token_ms=1))
    other = {'model': 'minutes', 'prompt': 'other [tokens=3]'}
    await engine.post(TEXT_PATH, other, X_Request_Id='first')
    await engine.set_faults(next_crossed=1)
    crossed = await engine.post(TEXT_PATH, STREAM, X_Request_Id='second')
    assert crossed.headers['X-Request-Id'] == 'first'
    assert '"id":"cmpl-first"' in crossed.text
    assert (
        event_texts(crossed.text) == TokenGenerator('other [tokens=3]').text()
    )
    correct = await engine.post(TEXT_PATH, STREAM, X_Request_Id='third')
    assert correct.headers['X-Request-Id'] == 'third'
    assert event_texts(correct.text) == EXPECTED


@pytest.mark.parametrize('mode', list(FencingMode))
async def test_old_fencing_number_is_refused_or_ignored(
    start: Start, mode: FencingMode
) -> None:
    """Guards against an engine that runs requests of a replaced pool owner.

    They have a lower fencing number than requests of the new owner.
    """
    engine = await start(EngineCommand(token_ms=1, fencing=mode))
    newer = await engine.post(TEXT_PATH, BODY, X_Fencing_Number='7')
    older = await engine.post(TEXT_PATH, BODY, X_Fencing_Number='6')
    assert newer.status == 200
    refuses = mode is FencingMode.REFUSE
    assert older.status == (409 if refuses else 200)
    if refuses:
        assert json.loads(older.text) == {'run': 'no', 'reason': 'fenced'}
    await engine.set_faults(load_lag_seconds=0)
    assert (await engine.get('/load'))['highest_fencing_number'] == 7


@pytest.mark.parametrize(
    ('overload', 'status'),
    [(ColdOverload.FAIL, 500), (ColdOverload.REFUSE, 503)],
)
async def test_cold_engine_handles_only_cold_slots(
    start: Start,
    overload: ColdOverload,
    status: int,
) -> None:
    """Guards against a cold engine that handles as much as a warm one."""
    engine = await start(EngineCommand(cold_seconds=60, cold_overload=overload))
    streams = await open_streams(engine, 2)
    excess = await engine.post(TEXT_PATH, BODY)
    assert excess.status == status
    state = await engine.get('/control/state')
    assert state['load']['cold']
    assert (state['runs'], state['peak_running_cold']) == (2, 2)
    assert state['cold_overloads'] == (overload is ColdOverload.FAIL)
    for stream in streams:
        stream.close()


async def test_engine_turns_cold_under_load(start: Start) -> None:
    """Guards against cold starts that are possible only at process start."""
    engine = await start(EngineCommand(cold_seconds=0))
    streams = await open_streams(engine, 3)
    await engine.set_faults(turn_cold=True, cold_seconds=60)
    assert (await engine.post(TEXT_PATH, BODY)).status == 500
    state = await engine.get('/control/state')
    assert (state['load']['cold'], state['cold_overloads']) == (True, 1)
    for stream in streams:
        stream.close()


async def test_full_or_leaving_engine_refuses(start: Start) -> None:
    """Guards against refusals that do not state that nothing was run."""
    engine = await start(EngineCommand(full_at=1))
    streams = await open_streams(engine, 1)
    full = await engine.post(TEXT_PATH, BODY)
    await engine.set_faults(leaving=True)
    leaving = await engine.post(TEXT_PATH, BODY)
    streams[0].close()
    assert (full.status, leaving.status) == (503, 503)
    assert json.loads(full.text) == {'run': 'no', 'reason': 'full'}
    assert json.loads(leaving.text) == {'run': 'no', 'reason': 'leaving'}
    state = await engine.get('/control/state')
    assert (state['runs'], state['refusals']) == (1, {'full': 1, 'leaving': 1})


async def test_frozen_engine_responds_once_unfrozen(start: Start) -> None:
    """Guards against a frozen engine that still responds or loses requests."""
    engine = await start(EngineCommand(token_ms=1))
    await engine.set_faults(frozen=True)
    request = asyncio.create_task(engine.post(TEXT_PATH, STREAM))
    load = asyncio.create_task(engine.get('/load'))
    _, pending = await asyncio.wait((request, load), timeout=0.2)
    assert pending == {request, load}
    await engine.set_faults(frozen=False)
    assert event_texts((await request).text) == EXPECTED
    await load


@pytest.mark.parametrize(
    ('command', 'statuses'),
    [
        (EngineCommand(bad_after=2), [200, 200, 500]),
        (EngineCommand(bad_route='/chat'), [200, 200]),
        (EngineCommand(bad_route='/v1/comp'), [500, 500]),
        (EngineCommand(bad_above_load=1), [200, 200]),
    ],
)
async def test_bad_version_fails_under_its_conditions(
    start: Start,
    command: EngineCommand,
    statuses: list[int],
) -> None:
    """Guards against version faults at an unexpected time, route or load."""
    command.bad_kind = BadKind.FAIL
    command.token_ms = 1
    engine = await start(command)
    responses = [await engine.post(TEXT_PATH, BODY) for _ in statuses]
    assert [response.status for response in responses] == statuses


async def test_bad_version_fails_under_load(start: Start) -> None:
    """Guards against a version fault that never occurs at high load."""
    engine = await start(
        EngineCommand(bad_kind=BadKind.FAIL, bad_above_load=1),
    )
    streams = await open_streams(engine, 1)
    assert (await engine.post(TEXT_PATH, BODY)).status == 500
    streams[0].close()


async def test_slow_version_takes_longer(start: Start) -> None:
    """Guards against a slow version that is as fast as other versions."""
    engine = await start(
        EngineCommand(token_ms=1, bad_kind=BadKind.SLOW, slow_factor=10),
    )
    assert event_texts((await engine.post(TEXT_PATH, STREAM)).text) == EXPECTED
    run = (await engine.get('/control/history'))['runs'][0]
    assert run['ended'] - run['started'] >= 20 * 0.001 * 10


async def test_cache_events_report_changes_in_order(start: Start) -> None:
    """Guards against cache events that are missing or out of order.

    A request stores its new prefixes, which evicts the least recently used.
    """
    engine = await start(
        EngineCommand(token_ms=1, cache_blocks=3, cache_event_lag_seconds=0),
    )
    for hashes in ('1, 2', '1, 3, 4'):
        await engine.post(TEXT_PATH, BODY, X_Prefix_Hashes=hashes)
    page = await engine.get('/cache-events?from=1')
    assert [event['hashes'] for event in page['events']] == [[3, 4], [2]]
    assert [event['kind'] for event in page['events']] == ['stored', 'evicted']
    assert page['next'] == 3
