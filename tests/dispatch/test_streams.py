"""Streams that are interrupted and resumed."""

import pytest

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.states import Outcome
from pollenloom.dispatch.http_backend_client import HttpBackendClient
from tests.dispatch.requests import model_request
from tests.fakes.caller_router import CallerRouter
from tests.fakes.fake_backend import TOKENS, drop, event, refuse, stream
from tests.fakes.list_sink import ListSink

COMPLETE_STREAM = (
    b''.join(event(token) for token in range(TOKENS)) + b'data: [DONE]\n\n'
)


@pytest.fixture
def sink() -> ListSink:
    return ListSink()


@pytest.mark.parametrize('cut_after', [0, 1, 5, TOKENS])
@pytest.mark.parametrize('extra', [b'', b'data: {"half', b'data: [DONE]'])
async def test_interrupted_stream_is_resumed(
    router: CallerRouter,
    sink: ListSink,
    cut_after: int,
    extra: bytes,
) -> None:
    """Guards against tokens that are lost, repeated or truncated."""
    router.backends[0].script.append(stream(TOKENS + 1, cut_after, extra))
    router.backends[1].script.append(stream(TOKENS))
    request = model_request(router, streaming=True)
    result = await router.dispatcher.stream(request, sink)
    assert result.is_ok()
    assert sink.relayed == COMPLETE_STREAM
    resumed = router.backends[1].received[0].headers.get('X-Resume-From')
    assert resumed == (str(cut_after) if cut_after else None)
    costs = [settled.cost for settled in router.admission.settlements]
    assert costs == [cut_after, TOKENS - cut_after + 1]


async def test_usage_of_a_resumed_stream_is_charged_once(
    router: CallerRouter,
    sink: ListSink,
) -> None:
    """Guards against charging an account twice after a server failure."""
    usage = {'prompt_tokens': 80, 'completion_tokens': TOKENS}
    router.backends[0].script.append(stream(TOKENS, 5))
    router.backends[1].script.append(stream(TOKENS, usage=usage))
    request = model_request(router, streaming=True)
    await router.dispatcher.stream(request, sink)
    costs = [settled.cost for settled in router.admission.settlements]
    assert costs == [5, TOKENS + 10 - 5]
    assert router.event_names() == ['resume']


async def test_stream_that_cannot_be_resumed_is_reported_as_truncated(
    router: CallerRouter,
    sink: ListSink,
) -> None:
    """Guards against reporting "not run" although tokens were relayed."""
    router.backends[0].script.extend([stream(TOKENS, 3), drop])
    router.backends[1].script.extend([refuse('full'), refuse('full')])
    request = model_request(router, streaming=True)
    result = await router.dispatcher.stream(request, sink)
    assert result.error.kind is ErrorKind.RESPONSE_TRUNCATED
    assert sink.relayed == b''.join(event(token) for token in range(3))
    assert router.admission.outcomes()[:2] == [Outcome.FAILED, Outcome.REFUSED]
    assert not router.admission.open


async def test_stream_of_an_idle_server_is_resumed(
    router: CallerRouter,
    sink: ListSink,
) -> None:
    """Guards against a stream that waits forever for a hung server."""
    client = router.dispatcher.client
    assert isinstance(client, HttpBackendClient)
    client.settings = client.settings.model_copy(update={'idle_seconds': 0.2})
    router.backends[0].script.append(stream(TOKENS, 3, silent=True))
    request = model_request(router, streaming=True)
    result = await router.dispatcher.stream(request, sink)
    assert result.is_ok()
    assert sink.relayed == COMPLETE_STREAM
    assert router.event_names() == ['resume']


async def test_slow_caller_does_not_cause_an_idle_timeout(
    router: CallerRouter,
    sink: ListSink,
) -> None:
    """Guards against a server that counts as idle because of its caller."""
    client = router.dispatcher.client
    assert isinstance(client, HttpBackendClient)
    client.settings = client.settings.model_copy(update={'idle_seconds': 0.1})
    sink.pause_seconds = 0.3
    request = model_request(router, streaming=True)
    result = await router.dispatcher.stream(request, sink)
    assert result.is_ok()
    assert sink.relayed == COMPLETE_STREAM
    assert not router.event_names()
