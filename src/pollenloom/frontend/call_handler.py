"""Base class of the handlers of caller routes."""

from abc import ABC, abstractmethod

from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.configuration.configuration_service import ConfigurationService
from pollenloom.core.failure import Failure
from pollenloom.dispatch.dispatch import Dispatch
from pollenloom.frontend.raw_call import RawCall
from pollenloom.frontend.request_reader import CallContext, ValidatedRequest
from pollenloom.frontend.response_headers import router_headers
from pollenloom.frontend.responses import backend_response, problem_response
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics import Metrics
from pollenloom.settings.router_settings import LimitSettings


class CallHandler(ABC):
    """Serves the calls of one route."""

    def __init__(self, kernel: Kernel, limits: LimitSettings) -> None:
        self.kernel = kernel
        self.limits = limits
        self.configuration = kernel.find(
            KernelServiceName.CONFIGURATION,
            ConfigurationService,
        )
        self.dispatch = kernel.find(
            KernelServiceName.DISPATCH,
            Dispatch,
        )
        self.events = kernel.find(KernelServiceName.EVENTS, EventLog)
        self.metrics = kernel.find(KernelServiceName.METRICS, Metrics)

    @abstractmethod
    async def handle(
        self,
        request: Request,
        call: RawCall,
    ) -> HTTPResponse | None:
        """Return the response; None if it was written as a stream."""

    async def forward(
        self, call: RawCall, validated: ValidatedRequest
    ) -> HTTPResponse:
        """Return the complete response of a backend server."""
        result = await self.dispatch.call(validated.request)
        if result.is_error():
            return self.error_response(result.error, call, validated)
        response = result.ok
        self.observe_response(call, validated, None)
        return backend_response(
            response.status,
            response.body,
            response.headers,
            self.router_headers(call, validated),
        )

    def error_response(
        self,
        failure: Failure,
        call: RawCall,
        validated: ValidatedRequest | None = None,
    ) -> HTTPResponse:
        """Record a failed call and return its problem details."""
        self.record_refusal(failure, call, validated)
        headers = (
            {} if validated is None else self.router_headers(call, validated)
        )
        return problem_response(
            failure,
            call.request_id,
            for_model=call.is_model_call,
            headers=headers,
        )

    def record_refusal(
        self,
        failure: Failure,
        call: RawCall,
        validated: ValidatedRequest | None,
    ) -> None:
        """Record why a call got no complete response of a backend server."""
        service = None if validated is None else validated.request.service
        self.metrics.count_request(service, failure.kind)
        self.events.record(
            'refusal',
            call.request_id,
            service=service,
            kind=failure.kind.value,
            run=failure.response.run.value,
            detail=failure.detail,
        )

    def observe_response(
        self,
        call: RawCall,
        validated: ValidatedRequest,
        first_byte_at: float | None,
    ) -> None:
        """Count a forwarded response and observe its times.

        `first_byte_at` is monotonic time in seconds; None for a response that
        was not streamed.
        """
        now = self.kernel.clock.monotonic()
        service = validated.request.service
        self.metrics.count_request(service, None)
        self.metrics.observe_response(
            service,
            validated.request.account,
            (first_byte_at or now) - call.arrived_at,
            now - call.arrived_at,
        )

    def router_headers(
        self, call: RawCall, validated: ValidatedRequest
    ) -> dict[str, str]:
        """Return the headers that the router adds to a response."""
        return router_headers(
            call.request_id,
            validated.service,
            self.kernel.clock.wall(),
        )

    def context(self) -> CallContext:
        """Return the present context to validate a call against."""
        return CallContext(
            configuration=self.configuration.current,
            monotonic=self.kernel.clock.monotonic(),
            wall=self.kernel.clock.wall(),
            request_seconds=self.limits.request_seconds,
        )
