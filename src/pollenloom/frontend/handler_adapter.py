"""Adapter from Sanic routes to call handlers."""

import asyncio

from sanic import Request
from sanic.http import Http
from sanic.response import HTTPResponse

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.frontend.body_reader import read_body
from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.drain_barrier import DrainBarrier
from pollenloom.frontend.raw_call import RawCall
from pollenloom.frontend.responses import new_request_id


class HandlerAdapter:
    """Runs a handler for a Sanic request; rejects the request in a drain."""

    def __init__(
        self, drain_barrier: DrainBarrier, handler: CallHandler
    ) -> None:
        self.drain_barrier = drain_barrier
        self.handler = handler

    async def __call__(
        self,
        request: Request,
        **_path_parts: str,
    ) -> HTTPResponse | None:
        """Serve one request; return None if the response was streamed."""
        arrived_at = self.handler.kernel.clock.monotonic()
        body = await read_body(request, self.handler.limits)
        call = make_raw_call(request, body.default_value(b''), arrived_at)
        if not self.drain_barrier.ready:
            close_after_response(request)
        if body.is_error():
            return self.handler.error_response(body.error, call)
        if self.drain_barrier.rejecting:
            return self.handler.error_response(
                Failure(
                    ErrorKind.SHUTTING_DOWN,
                    'try another router',
                ),
                call,
            )
        with self.drain_barrier:
            try:
                response = await self.handler.handle(request, call)
            except asyncio.CancelledError:
                # Sanic cancels the task when the connection is lost.
                failure = Failure(
                    ErrorKind.CALLER_DISCONNECTED, 'connection lost'
                )
                self.handler.record_refusal(failure, call, None)
                raise
        # The stop may have begun while the request ran.
        if not self.drain_barrier.ready:
            close_after_response(request)
        return response


def close_after_response(request: Request) -> None:
    """Close the connection after the response.

    The caller then reconnects through the balancer to another router.
    """
    if isinstance(request.stream, Http):
        request.stream.keep_alive = False


def make_raw_call(request: Request, body: bytes, arrived_at: float) -> RawCall:
    """Return the request without types of Sanic."""
    query = f'?{request.query_string}' if request.query_string else ''
    headers: dict[str, str] = {}
    for name, text in request.headers.items():
        lower_name = name.lower()
        earlier = headers.setdefault(lower_name, text)
        if earlier is not text:
            headers[lower_name] = f'{earlier}, {text}'
    return RawCall(
        request_id=new_request_id(),
        method=request.method,
        target=f'{request.path}{query}',
        headers=headers,
        body=body,
        arrived_at=arrived_at,
    )
