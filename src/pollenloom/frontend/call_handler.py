"""Base class of the handlers of callers' routes."""

from abc import ABC, abstractmethod

from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.configuration.configuration_service import ConfigurationService
from pollenloom.core.failure import Failure
from pollenloom.dispatch.dispatch import Dispatch
from pollenloom.frontend.answer_headers import router_headers
from pollenloom.frontend.answers import passed_answer, problem_answer
from pollenloom.frontend.raw_call import RawCall
from pollenloom.frontend.request_reader import CallContext, ReadRequest
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
        """Return the answer, or none if it was written as a stream."""

    async def fetch(self, call: RawCall, read: ReadRequest) -> HTTPResponse:
        """Answer with the whole answer of a backend server."""
        answered = await self.dispatch.call(read.request)
        if answered.is_error():
            return self.refuse(answered.error, call, read)
        answer = answered.ok
        self.observe(call, read, None)
        return passed_answer(
            answer.status,
            answer.body,
            answer.headers,
            self.own_headers(call, read),
        )

    def refuse(
        self,
        failure: Failure,
        call: RawCall,
        read: ReadRequest | None = None,
    ) -> HTTPResponse:
        """Answer a call that failed and record why."""
        self.record_refusal(failure, call, read)
        headers = {} if read is None else self.own_headers(call, read)
        return problem_answer(
            failure,
            call.request_id,
            for_model=call.is_model_call,
            headers=headers,
        )

    def record_refusal(
        self,
        failure: Failure,
        call: RawCall,
        read: ReadRequest | None,
    ) -> None:
        """Record why a call got no whole answer of a backend server."""
        service = None if read is None else read.request.service
        self.metrics.count_request(service, failure.kind)
        self.events.record(
            'refusal',
            call.request_id,
            service=service,
            kind=failure.kind.value,
            run=failure.answer.run.value,
            detail=failure.detail,
        )

    def observe(
        self,
        call: RawCall,
        read: ReadRequest,
        first_byte_at: float | None,
    ) -> None:
        """Count an answer that was passed on, and its times."""
        now = self.kernel.clock.monotonic()
        service = read.request.service
        self.metrics.count_request(service, None)
        self.metrics.observe_answer(
            service,
            read.request.account,
            (first_byte_at or now) - call.arrived_at,
            now - call.arrived_at,
        )

    def own_headers(self, call: RawCall, read: ReadRequest) -> dict[str, str]:
        """Return the headers that the router adds to an answer."""
        return router_headers(
            call.request_id,
            read.service,
            self.kernel.clock.wall(),
        )

    def context(self) -> CallContext:
        """Return what calls are judged by at present."""
        return CallContext(
            configuration=self.configuration.current,
            monotonic=self.kernel.clock.monotonic(),
            wall=self.kernel.clock.wall(),
            request_seconds=self.limits.request_seconds,
        )
