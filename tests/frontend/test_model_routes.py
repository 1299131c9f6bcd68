"""Model routes as the published client sees them."""

import asyncio

import openai
import pytest
from openai.types.chat import ChatCompletionUserMessageParam

from pollenloom.core.states import Outcome
from tests.fakes.caller_router import CallerRouter
from tests.fakes.fake_backend import TOKENS, Hold, drop, respond, stream
from tests.fakes.fixed_configuration import MODEL

MESSAGES = (
    ChatCompletionUserMessageParam(
        role='user',
        content='Weight of a striker?',
    ),
)


async def test_complete_response(
    router: CallerRouter,
    client: openai.AsyncOpenAI,
) -> None:
    """Guards against a response that the published client cannot parse."""
    completion = await client.chat.completions.create(
        model=MODEL,
        messages=MESSAGES,
    )
    assert completion.choices[0].message.content == 'whole answer'
    assert [model.id async for model in client.models.list()] == [MODEL]
    assert router.admission.settlements[0].cost == 32


async def read_tokens(
    client: openai.AsyncOpenAI,
    tokens: list[str],
) -> None:
    """Append the tokens of a stream until it ends or fails."""
    events = await client.chat.completions.create(
        model=MODEL,
        messages=MESSAGES,
        stream=True,
    )
    async for chunk in events:
        delta = chunk.choices[0].delta
        tokens.append(delta.content or '')


async def test_stream_is_resumed(
    router: CallerRouter, client: openai.AsyncOpenAI
) -> None:
    """Guards against a cut stream that the published client notices.

    The backend server cuts the stream after four events; it is resumed on
    another one.
    """
    router.backends[0].script.append(stream(TOKENS, cut_after=4))
    tokens: list[str] = []
    await read_tokens(client, tokens)
    assert tokens == [f't{token} ' for token in range(TOKENS)]
    assert router.event_names() == ['resume']


async def test_stream_that_cannot_be_completed(
    router: CallerRouter,
    client: openai.AsyncOpenAI,
) -> None:
    """Guards against a partial response that looks complete.

    The stream is cut and every attempt to resume it fails.
    """
    router.backends[0].script.extend([stream(TOKENS, cut_after=4), drop])
    router.backends[1].script.extend([drop, drop])
    tokens: list[str] = []
    with pytest.raises(openai.APIError, match='cut'):
        await read_tokens(client, tokens)
    assert tokens == [f't{token} ' for token in range(4)]
    assert not router.admission.open


async def test_errors_are_raised(
    router: CallerRouter,
    client: openai.AsyncOpenAI,
) -> None:
    """Guards against error responses that the published client hides."""
    with pytest.raises(openai.NotFoundError, match='No service offers') as info:
        await client.chat.completions.create(model='no', messages=MESSAGES)
    assert info.value.code == 'unknown_model'
    assert info.value.request_id
    router.admission.servers.clear()
    with pytest.raises(openai.InternalServerError) as rejected:
        await client.chat.completions.create(model=MODEL, messages=MESSAGES)
    assert rejected.value.response.headers['retry-after'] == '1'
    other = client.with_options(api_key='no key')
    with pytest.raises(openai.AuthenticationError):
        await other.models.list()


async def test_disconnect_cancels_the_request(
    router: CallerRouter,
    client: openai.AsyncOpenAI,
) -> None:
    """Guards against an engine that keeps working after a disconnect."""
    router.backends[0].script.append(Hold(respond))
    task = asyncio.create_task(read_tokens(client, []))
    async with asyncio.timeout(10):
        await router.backends[0].arrived.wait()
        task.cancel()
        await router.backends[0].disconnected.wait()
        await router.backends[0].cancel_received.wait()
    assert router.admission.outcomes() == [Outcome.CANCELLED]
    assert 'refusal' in router.event_names()
