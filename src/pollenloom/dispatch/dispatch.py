"""Interface of the service that sends requests to backend servers."""

from abc import abstractmethod
from typing import ClassVar

from expression import Result

from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.failure import Failure
from pollenloom.dispatch.backend_response import BackendResponse
from pollenloom.dispatch.event_sink import EventSink
from pollenloom.frontend.stop_limits import StopLimits
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName


class Dispatch(KernelService):
    """Sends requests under grants and retries them where it is safe.

    Attributes:
        stop_limits: Time limits that a planned stop brings forward.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.DISPATCH
    stop_limits: StopLimits

    @abstractmethod
    async def call(
        self,
        request: CallerRequest,
    ) -> Result[BackendResponse, Failure]:
        """Send a request and return the complete response, in memory.

        A request that is not repeatable is sent a second time only if it is
        proven that the first attempt was not run. Cancelling the call cancels
        the request at the backend server.

        Errors:
            ORDER_OUTCOME_UNKNOWN if a request that may not be repeated may
            have been run; RETRIES_EXHAUSTED, BACKEND_FAILED,
            RESPONSE_TRUNCATED, DEADLINE_EXCEEDED and the errors of
            `Admission.acquire`, SHUTTING_DOWN also in a planned stop.
        """

    @abstractmethod
    async def stream(
        self,
        request: CallerRequest,
        sink: EventSink,
    ) -> Result[BackendResponse, Failure]:
        """Relay an event stream to `sink`; resume it if it is interrupted.

        If the backend server responds without a stream, for example with
        status 400, the sink receives nothing and the response is returned
        with its body. After a complete stream the returned body is empty.

        Errors:
            As `call`. Events may have been relayed before the failure.
        """
