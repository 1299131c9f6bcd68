"""Handler of the model routes."""

from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.problem_details import encode_error_event
from pollenloom.frontend.raw_call import RawCall
from pollenloom.frontend.request_reader import (
    ModelRoute,
    ValidatedRequest,
    read_model_call,
)
from pollenloom.frontend.responses import backend_response
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
        validated = read_model_call(call, self.route, self.context())
        if validated.is_error():
            return self.error_response(validated.error, call)
        if validated.ok.request.streaming:
            return await self.stream(request, call, validated.ok)
        return await self.forward(call, validated.ok)

    async def stream(
        self,
        request: Request,
        call: RawCall,
        validated: ValidatedRequest,
    ) -> HTTPResponse | None:
        """Relay an event stream; return None if the stream was started."""
        router_headers = self.router_headers(call, validated)
        sink = SanicSink(request, router_headers, self.kernel.clock)
        result = await self.dispatch.stream(validated.request, sink)
        if result.is_ok():
            self.observe_response(call, validated, sink.started_at)
            if sink.response is not None:
                await sink.finish()
                return None
            response = result.ok
            return backend_response(
                response.status,
                response.body,
                response.headers,
                router_headers,
            )
        if sink.response is None:
            return self.error_response(result.error, call, validated)
        self.record_refusal(result.error, call, validated)
        await sink.abort(encode_error_event(result.error, call.request_id))
        return None
