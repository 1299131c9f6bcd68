"""Requests as the front end passes them to the dispatcher."""

from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.ids import AccountId, RequestId, RouteId
from pollenloom.core.states import Resource
from tests.fakes.caller_router import CallerRouter
from tests.fakes.fixed_configuration import APPLICATION, MODEL


def model_request(
    router: CallerRouter,
    *,
    streaming: bool = False,
    seconds: float = 30,
) -> CallerRequest:
    """Return a chat request whose deadline is `seconds` from now."""
    body = b'{"model": "drafts", "stream": %b}'
    return CallerRequest(
        request_id=RequestId('request-1'),
        account=AccountId('cantel'),
        service=MODEL,
        route=RouteId('chat-completions'),
        resource=Resource.MODEL,
        cost_hint=40,
        deadline=router.clock.monotonic() + seconds,
        repeatable=True,
        method='POST',
        path='/v1/chat/completions',
        body=body % (b'true' if streaming else b'false'),
        streaming=streaming,
        prefix_hashes=(3, 18446744073709551615),
    )


def application_request(
    router: CallerRouter,
    *,
    repeatable: bool,
    method: str = 'PUT',
) -> CallerRequest:
    """Return a request to an application."""
    return CallerRequest(
        request_id=RequestId('request-2'),
        account=AccountId('cantel'),
        service=APPLICATION,
        route=RouteId('lots'),
        resource=Resource.APPLICATION,
        cost_hint=2,
        deadline=router.clock.monotonic() + 30,
        repeatable=repeatable,
        method=method,
        path='/lots/4?x=1',
        headers={'traceparent': 'parent', 'connection': 'close'},
        idempotency_key='key-1',
    )
