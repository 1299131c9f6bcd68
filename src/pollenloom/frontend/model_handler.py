"""Handlers of the model routes."""

from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.frontend.answers import passed_answer
from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.problem_details import encode_error_event
from pollenloom.frontend.raw_call import RawCall
from pollenloom.frontend.request_reader import (
    ModelRoute,
    ReadRequest,
    read_model_call,
)
from pollenloom.frontend.sanic_sink import SanicSink
from pollenloom.kernel.kernel import Kernel
from pollenloom.settings.router_settings import LimitSettings


class ModelHandler(CallHandler):
    """Serves one of the published model routes, streaming or not."""

    def __init__(
        self,
        kernel: Kernel,
        limits: LimitSettings,
        route: ModelRoute,
    ) -> None:
        super().__init__(kernel, limits)
        self.route = route

    async def handle(
        self,
        request: Request,
        call: RawCall,
    ) -> HTTPResponse | None:
        """Serve a model request."""
        read = read_model_call(call, self.route, self.context())
        if read.is_error():
            return self.refuse(read.error, call)
        if read.ok.request.streaming:
            return await self.stream(request, call, read.ok)
        return await self.fetch(call, read.ok)

    async def stream(
        self,
        request: Request,
        call: RawCall,
        read: ReadRequest,
    ) -> HTTPResponse | None:
        """Relay an event stream."""
        own_headers = self.own_headers(call, read)
        sink = SanicSink(request, own_headers, self.kernel.clock)
        answered = await self.dispatch.stream(read.request, sink)
        if answered.is_ok():
            self.observe(call, read, sink.opened_at)
            if sink.response is not None:
                await sink.finish()
                return None
            answer = answered.ok
            return passed_answer(
                answer.status,
                answer.body,
                answer.headers,
                own_headers,
            )
        if sink.response is None:
            return self.refuse(answered.error, call, read)
        self.record_refusal(answered.error, call, read)
        await sink.close_cut(
            encode_error_event(answered.error, call.request_id)
        )
        return None
