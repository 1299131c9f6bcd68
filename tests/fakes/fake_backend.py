"""Backend server whose answers the test scripts."""

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
class Received:
    """A request as the backend server got it."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    peer: tuple[str, int]


Behaviour = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FakeBackend:
    """Model engine and application in one; answers well if not scripted."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.received: list[Received] = []
        self.cancelled: list[str] = []
        self.script: deque[Behaviour] = deque()
        self.arrived = asyncio.Event()
        self.left = asyncio.Event()
        self.told = asyncio.Event()

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
        """Refuse further connections and cut those that are open."""
        await self.runner.cleanup()

    def server(self, service: ServiceId) -> BackendServer:
        """Return the entry that grants name."""
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
        """Note which request was cancelled."""
        self.cancelled.append(request.match_info['request_id'])
        self.told.set()
        return web.Response()

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer as the script says."""
        self.received.append(
            Received(
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
            return await answer(request)
        except asyncio.CancelledError:
            self.left.set()
            raise


async def answer(request: web.Request) -> web.StreamResponse:
    """Answer as a healthy server."""
    if not request.path.startswith('/v1/'):
        return json_response(request, {'path': request.path_qs})
    body = msgspec.json.decode(await request.read())
    if body.get('stream'):
        return await stream(TOKENS)(request)
    return json_response(request, completion())


def completion() -> dict[str, Any]:
    """Return a whole answer in the published form."""
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
    """Return the event of one token, `t<number> `."""
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
    """Return a whole JSON answer with the echoed id."""
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        headers={'X-Request-Id': request.headers['X-Request-Id']},
        content_type='application/json',
    )


def refuse(reason: str, status: int = 503) -> Behaviour:
    """Refuse with a proof that nothing was run."""

    async def behave(  # ruff: ignore[unused-async] aiohttp awaits it
        request: web.Request,
    ) -> web.StreamResponse:
        return json_response(request, {'run': 'no', 'reason': reason}, status)

    return behave


def fail(status: int) -> Behaviour:
    """Answer with a server error."""

    async def behave(  # ruff: ignore[unused-async] aiohttp awaits it
        request: web.Request,
    ) -> web.StreamResponse:
        return json_response(request, {'oops': True}, status)

    return behave


async def drop(  # ruff: ignore[unused-async] aiohttp awaits it
    request: web.Request,
) -> web.StreamResponse:
    """Close the connection without an answer."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


class Hold:
    """Holds answers back until the test releases them."""

    def __init__(self, then: Behaviour) -> None:
        self.released = asyncio.Event()
        self.then = then

    async def __call__(self, request: web.Request) -> web.StreamResponse:
        """Wait, then answer."""
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
    """Stream from the event of `X-Resume-From`; cut it if told so.

    A silent cut leaves the connection open.
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
