"""Entry of calls from Sanic to a handler."""

import asyncio

from sanic import Request
from sanic.http import Http
from sanic.response import HTTPResponse

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.frontend.answers import new_request_id
from pollenloom.frontend.body_reader import read_body
from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.drain_gate import DrainGate
from pollenloom.frontend.raw_call import RawCall


class GuardedRoute:
    """Runs a handler unless this router is shutting down."""

    def __init__(self, gate: DrainGate, handler: CallHandler) -> None:
        self.gate = gate
        self.handler = handler

    async def __call__(
        self,
        request: Request,
        **_path_parts: str,
    ) -> HTTPResponse | None:
        """Serve one request of a connection."""
        arrived_at = self.handler.kernel.clock.monotonic()
        body = await read_body(request, self.handler.limits)
        call = read_raw(request, body.default_value(b''), arrived_at)
        if not self.gate.ready:
            close_after_answer(request)
        if body.is_error():
            return self.handler.refuse(body.error, call)
        if self.gate.refusing:
            return self.handler.refuse(
                Failure(ErrorKind.SHUTTING_DOWN, 'try another router'),
                call,
            )
        with self.gate:
            try:
                return await self.handler.handle(request, call)
            except asyncio.CancelledError:
                # Sanic cancels the task of a connection that is lost.
                failure = Failure(ErrorKind.CALLER_LEFT, 'connection lost')
                self.handler.record_refusal(failure, call, None)
                raise


def close_after_answer(request: Request) -> None:
    """Make the caller connect anew, to a router that goes on."""
    if isinstance(request.stream, Http):
        request.stream.keep_alive = False


def read_raw(request: Request, body: bytes, arrived_at: float) -> RawCall:
    """Return a request without the server library's types."""
    query = f'?{request.query_string}' if request.query_string else ''
    headers: dict[str, str] = {}
    for name, text in request.headers.items():
        lowered = name.lower()
        earlier = headers.setdefault(lowered, text)
        if earlier is not text:
            headers[lowered] = f'{earlier}, {text}'
    return RawCall(
        request_id=new_request_id(),
        method=request.method,
        target=f'{request.path}{query}',
        headers=headers,
        body=body,
        arrived_at=arrived_at,
    )
