"""Model routes as the published client sees them."""

import openai
from openai.types.chat import ChatCompletionUserMessageParam

from tests.fakes.caller_router import Router
from tests.fakes.fixed_configuration import MODEL

MESSAGES = (
    ChatCompletionUserMessageParam(
        role='user',
        content='Weight of a striker?',
    ),
)


async def test_whole_answer(
    router: Router,
    client: openai.AsyncOpenAI,
) -> None:
    """Guards against an answer that the published client cannot read."""
    answer = await client.chat.completions.create(
        model=MODEL,
        messages=MESSAGES,
    )
    assert answer.choices[0].message.content == 'whole answer'
    assert [model.id async for model in client.models.list()] == [MODEL]
    assert router.admission.settlements[0].cost == 32


async def test_stream(router: Router, client: openai.AsyncOpenAI) -> None:
    """Guards against a stream that the published client cannot read."""
    stream = await client.chat.completions.create(
        model=MODEL,
        messages=MESSAGES,
        stream=True,
    )
    text = ''.join(
        [chunk.choices[0].delta.content or '' async for chunk in stream]
    )
    assert text == ''.join(f't{token} ' for token in range(12))
