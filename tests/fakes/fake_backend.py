"""Backend server whose responses are scripted by the test."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId

TOKENS = 12


@dataclass(frozen=True, slots=True)
class CapturedRequest:
    """A request as the backend server received it."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    peer: tuple[str, int]


Behaviour = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FakeBackend:
    """Model engine and application; responds as a healthy one by default.

    Attributes:
        received: Requests in the order of arrival.
        cancelled: Ids of the requests that `/cancel` named.
        script: Behaviours for the next requests, used up from the left.
        arrived: Set once a request has arrived.
        disconnected: Set once a router disconnected before the response ended.
        cancel_received: Set once a cancellation was received.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.received: list[CapturedRequest] = []
        self.cancelled: list[str] = []
        self.script: deque[Behaviour] = deque()
        self.arrived = asyncio.Event()
        self.disconnected = asyncio.Event()
        self.cancel_received = asyncio.Event()

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        app = web.Application(client_max_size=2**22)
        app.router.add_post('/cancel/{request_id}', self.cancel)
        app.router.add_route('*', '/{rest:.*}', self.serve)
        self.runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=1,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        self.port: int = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening and close the open connections."""
        await self.runner.cleanup()

    def server(self, service: ServiceId) -> BackendServer:
        """Return the entry of this server in a grant for a service."""
        return BackendServer(
            server=ServerId(self.name),
            service=service,
            data_centre=DataCentreId('salcaja'),
            version=VersionId('v1'),
            address=f'127.0.0.1:{self.port}',
            slots=8,
            cold_slots=1,
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Record which request was cancelled."""
        self.cancelled.append(request.match_info['request_id'])
        self.cancel_received.set()
        return web.Response()

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Respond with the next behaviour of the script."""
        self.received.append(
            CapturedRequest(
                request.method,
                request.path_qs,
                request.headers.copy(),
                await request.read(),
                request.get_extra_info('peername'),
            )
        )
        self.arrived.set()
        try:
            if self.script:
                return await self.script.popleft()(request)
            return await respond(request)
        except asyncio.CancelledError:
            self.disconnected.set()
            raise


async def respond(request: web.Request) -> web.StreamResponse:
    """Respond as a healthy server does."""
    if not request.path.startswith('/v1/'):
        return json_response(request, {'path': request.path_qs})
    body = msgspec.json.decode(await request.read())
    if body.get('stream'):
        return await stream(TOKENS)(request)
    return json_response(request, completion())


def completion() -> dict[str, Any]:
    """Return a complete chat response in the OpenAI format."""
    message = {'role': 'assistant', 'content': 'whole answer'}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    return {
        'id': 'chat-1',
        'object': 'chat.completion',
        'created': 1,
        'model': 'drafts',
        'choices': [choice],
        'usage': {
            'prompt_tokens': 16,
            'completion_tokens': 30,
            'total_tokens': 46,
        },
    }


def event(token: int) -> bytes:
    """Return the stream event of one token, whose text is `t<number> `."""
    choice = {'index': 0, 'delta': {'content': f't{token} '}}
    chunk = {
        'id': 'chat-1',
        'object': 'chat.completion.chunk',
        'created': 1,
        'model': 'drafts',
        'choices': [choice],
    }
    return b'data: %b\n\n' % msgspec.json.encode(chunk)


def json_response(
    request: web.Request,
    content: object,
    status: int = 200,
) -> web.Response:
    """Return a JSON response that echoes the request id."""
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        headers={'X-Request-Id': request.headers['X-Request-Id']},
        content_type='application/json',
    )


def refuse(reason: str, status: int = 503) -> Behaviour:
    """Return a behaviour that refuses and states that nothing was run."""

    async def behave(  # ruff: ignore[unused-async] aiohttp awaits it
        request: web.Request,
    ) -> web.StreamResponse:
        return json_response(request, {'run': 'no', 'reason': reason}, status)

    return behave


def fail(status: int) -> Behaviour:
    """Return a behaviour that responds with a server error."""

    async def behave(  # ruff: ignore[unused-async] aiohttp awaits it
        request: web.Request,
    ) -> web.StreamResponse:
        return json_response(request, {'oops': True}, status)

    return behave


async def drop(  # ruff: ignore[unused-async] aiohttp awaits it
    request: web.Request,
) -> web.StreamResponse:
    """Abort the connection without a response."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


class Hold:
    """Behaviour that delays another one until the test releases it."""

    def __init__(self, then: Behaviour) -> None:
        self.released = asyncio.Event()
        self.then = then

    async def __call__(self, request: web.Request) -> web.StreamResponse:
        """Wait for the release, then respond."""
        await self.released.wait()
        return await self.then(request)


def stream(
    tokens: int,
    cut_after: int | None = None,
    extra: bytes = b'',
    usage: dict[str, int] | None = None,
    *,
    silent: bool = False,
) -> Behaviour:
    """Return a behaviour that streams tokens, from `X-Resume-From` on.

    Args:
        tokens: Tokens of the complete stream.
        cut_after: Events after which the stream is cut; None for never.
        extra: Bytes sent just before the cut.
        usage: Content of a final usage event; None for no such event.
        silent: Whether a cut leaves the connection open, without data.
    """

    async def behave(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'X-Request-Id': request.headers['X-Request-Id'],
                'Content-Type': 'text/event-stream',
            }
        )
        await response.prepare(request)
        first = int(request.headers.get('X-Resume-From', '0'))
        for token in range(first, tokens):
            if cut_after is not None and token >= first + cut_after:
                await response.write(extra)
                if silent:
                    await asyncio.Event().wait()
                assert request.transport is not None
                request.transport.close()
                return response
            await response.write(event(token))
        if usage is not None:
            chunk = {'choices': [], 'usage': usage}
            await response.write(b'data: %b\n\n' % msgspec.json.encode(chunk))
        await response.write(b'data: [DONE]\n\n')
        return response

    return behave
