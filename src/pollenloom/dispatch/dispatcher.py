"""Sends requests under grants, with retries and resumed streams."""

import asyncio
from contextlib import ExitStack
from typing import Final

from expression import Error, Ok, Result

from pollenloom.admission.admission import Admission
from pollenloom.admission.grant import Grant
from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.states import Outcome, Resource, RunStatus
from pollenloom.dispatch.attempt_failure import AttemptFailure
from pollenloom.dispatch.backend_call import BackendCall
from pollenloom.dispatch.backend_client import BackendClient
from pollenloom.dispatch.backend_response import BackendResponse
from pollenloom.dispatch.caller_disconnected_error import (
    CallerDisconnectedError,
)
from pollenloom.dispatch.delivery import Delivery
from pollenloom.dispatch.delivery_cost import served_cost, unserved_cost
from pollenloom.dispatch.dispatch import Dispatch
from pollenloom.dispatch.event_relay import EventRelay
from pollenloom.dispatch.event_sink import EventSink
from pollenloom.dispatch.grant_use import GrantUse
from pollenloom.dispatch.http_backend_client import HttpBackendClient
from pollenloom.dispatch.retry_budget import RetryBudget
from pollenloom.frontend.stop_limits import StopLimits, stopping_failure
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics import Metrics
from pollenloom.settings.router_settings import (
    DispatchSettings,
    RouterSettings,
)

# Pause before servers that refused are tried again because no other server is
# available; multiplied by the number of attempts.
BACKOFF_SECONDS: Final = 0.05

# If this many grants for one request arrive too late, the router is too slow to
# use another one.
MAX_UNUSED_GRANTS: Final = 8

AttemptResult = Result[BackendResponse, AttemptFailure]


class Dispatcher(Dispatch):
    """Retry loop between admission and the backend servers."""

    def __init__(
        self,
        kernel: Kernel,
        client: BackendClient,
        budget: RetryBudget,
        settings: DispatchSettings,
    ) -> None:
        self.kernel = kernel
        self.metrics = Metrics.shared(kernel)
        self.client = client
        self.budget = budget
        self.settings = settings
        self.stop_limits = StopLimits(kernel.clock)

    @classmethod
    def from_config(
        cls,
        kernel: Kernel,
        settings: RouterSettings,
    ) -> 'Dispatcher':
        """Create a dispatcher that sends requests over HTTP."""
        dispatch = settings.dispatch
        return cls(
            kernel,
            HttpBackendClient(kernel.clock, dispatch),
            RetryBudget(dispatch.retry_ratio, dispatch.retry_reserve),
            dispatch,
        )

    async def start(self) -> None:
        """Find the services that every request needs."""
        self.admission = self.kernel.find(
            KernelServiceName.ADMISSION,
            Admission,
        )
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)

    async def stop(self) -> None:
        """Close the connections to the backend servers."""
        await self.client.close()

    async def call(
        self,
        request: CallerRequest,
    ) -> Result[BackendResponse, Failure]:
        """Send a request and return the complete response."""
        return await self.deliver(Delivery(request, None))

    async def stream(
        self,
        request: CallerRequest,
        sink: EventSink,
    ) -> Result[BackendResponse, Failure]:
        """Relay an event stream; resume it if it is interrupted."""
        delivery = Delivery(request, EventRelay(sink))
        try:
            return await self.deliver(delivery)
        except CallerDisconnectedError:
            return Error(
                Failure(
                    ErrorKind.CALLER_DISCONNECTED, 'the caller disconnected'
                )
            )

    async def deliver(
        self,
        delivery: Delivery,
    ) -> Result[BackendResponse, Failure]:
        """Return the final result; a planned stop may end the request."""
        try:
            async with self.stop_limits.until(lambda plan: plan.ends_at):
                return await self.send_until_final(delivery)
        except TimeoutError:
            self.stop_limits.cut_requests += 1
            return delivery.finish_at_stop()

    async def send_until_final(
        self,
        delivery: Delivery,
    ) -> Result[BackendResponse, Failure]:
        """Acquire grants and send until there is a final result."""
        self.budget.count_request(self.kernel.clock.monotonic())
        while True:
            acquired = await self.wait_for_grant(delivery)
            if acquired.is_error():
                if await self.readmit_excluded_servers(
                    delivery, acquired.error
                ):
                    continue
                return delivery.finish_without_grant(acquired.error)
            grant = acquired.ok
            attempt = await self.attempt(delivery, grant)
            if attempt.is_ok():
                return Ok(attempt.ok)
            failure = attempt.error
            delivery.record_failure(grant.server.server, failure)
            if not self.take_retry(delivery, failure):
                return delivery.finish_after_failure(failure)

    async def wait_for_grant(
        self, delivery: Delivery
    ) -> Result[Grant, Failure]:
        """Wait for a grant as long as the request may be sent."""
        request = delivery.request
        try:
            async with self.stop_limits.while_sendable(
                request.route, request.deadline
            ):
                return await self.admission.acquire(delivery.ticket())
        except TimeoutError:
            return Error(stopping_failure())

    async def readmit_excluded_servers(
        self,
        delivery: Delivery,
        failure: Failure,
    ) -> bool:
        """Clear the excluded servers if no other one has capacity.

        Waits for a pause; returns whether to ask admission again.
        """
        if failure.kind is not ErrorKind.NO_CAPACITY or not delivery.excluded:
            return False
        delivery.excluded.clear()
        if delivery.cancel_tasks:
            # A late cancellation would end the next attempt, which has the same
            # request id.
            await asyncio.wait(delivery.cancel_tasks)
        await asyncio.sleep(BACKOFF_SECONDS * delivery.attempts)
        return True

    async def attempt(
        self,
        delivery: Delivery,
        grant: Grant,
    ) -> AttemptResult:
        """Use a grant for one attempt and settle it in every case."""
        use = GrantUse(
            grant,
            self.kernel.clock.monotonic(),
            delivery.relayed_events,
        )
        with ExitStack() as stack:
            stack.callback(self.settle, delivery, use)
            return await self.send(delivery, use)

    def settle(self, delivery: Delivery, use: GrantUse) -> None:
        """Settle a grant and cancel the request if it may still run."""
        now = self.kernel.clock.monotonic()
        if use.outcome is not Outcome.SERVED:
            use.cost = unserved_cost(delivery, use)
        settlement = use.settlement(now)
        self.admission.settle(settlement)
        if settlement.cost:
            self.metrics.observe_cost(
                delivery.request.service,
                delivery.request.account,
                settlement.cost,
            )
        self.cancel_unanswered(delivery, use, now)

    async def send(self, delivery: Delivery, use: GrantUse) -> AttemptResult:
        """Send the request if its grant can still be used."""
        now = self.kernel.clock.monotonic()
        unused = check_grant(delivery, use.grant, now)
        if unused is not None:
            use.outcome = Outcome.UNUSED
            return Error(unused)
        call = make_call(delivery, use.grant, now)
        delivery.attempts += 1
        delivery.is_sending = True
        if delivery.relay is None:
            attempt = await self.client.fetch(call, use)
        else:
            attempt = await self.client.relay(call, use, delivery.relay)
        delivery.is_sending = False
        if attempt.is_error():
            copy_failure(use, attempt.error)
            return attempt
        ended_at = self.kernel.clock.monotonic()
        self.stop_limits.durations.add(delivery.request.route, ended_at - now)
        return evaluate_response(delivery, use, attempt.ok)

    def take_retry(self, delivery: Delivery, failure: AttemptFailure) -> bool:
        """Whether to send the request again; consumes the retry budget."""
        now = self.kernel.clock.monotonic()
        if failure.outcome is Outcome.UNUSED:
            in_time = now < delivery.request.deadline
            return in_time and delivery.unused_grants < MAX_UNUSED_GRANTS
        if not delivery.may_send_again(failure, now, self.settings.attempts):
            return False
        if not self.budget.take(now):
            self.record('retry_denied', delivery, failure)
            return False
        service = delivery.request.service
        self.metrics.retries.labels(service).inc()
        if delivery.relayed_events:
            self.metrics.resumed_streams.labels(service).inc()
            self.record('resume', delivery, failure)
        else:
            self.record('retry', delivery, failure)
        return True

    def cancel_unanswered(
        self,
        delivery: Delivery,
        use: GrantUse,
        now: float,
    ) -> None:
        """Ask a model engine to cancel a request that was not completed."""
        if use.response_complete or not use.connected:
            return
        if delivery.request.resource is not Resource.MODEL:
            return
        call = make_call(delivery, use.grant, now)
        delivery.cancel_tasks.add(
            self.kernel.spawn('cancel request', self.client.cancel(call))
        )

    def record(
        self,
        event_name: str,
        delivery: Delivery,
        failure: AttemptFailure,
    ) -> None:
        """Record why a request is or is not sent again."""
        self.events.record(
            event_name,
            delivery.request.request_id,
            service=delivery.request.service,
            account=delivery.request.account,
            attempt=delivery.attempts,
            events=delivery.relayed_events,
            run=failure.run.value,
            detail=failure.detail,
        )


def make_call(delivery: Delivery, grant: Grant, now: float) -> BackendCall:
    """Return the backend call that a grant allows."""
    return BackendCall(
        request=delivery.request,
        server=grant.server,
        fencing_number=grant.epoch,
        timeout_seconds=max(delivery.request.deadline - now, 0),
        resume_from=delivery.relayed_events,
    )


def check_grant(
    delivery: Delivery,
    grant: Grant,
    now: float,
) -> AttemptFailure | None:
    """Return why a grant cannot be used any more; None if it can."""
    if now >= delivery.request.deadline:
        kind = ErrorKind.DEADLINE_EXCEEDED
        detail = 'the deadline passed while waiting for a grant'
    elif grant.is_expired(now):
        kind = ErrorKind.NO_CAPACITY
        detail = 'the grant expired before it was used'
    else:
        return None
    return AttemptFailure(
        kind=kind,
        detail=detail,
        run=RunStatus.NO,
        outcome=Outcome.UNUSED,
        exclude_server=False,
    )


def copy_failure(use: GrantUse, failure: AttemptFailure) -> None:
    """Copy the failure of an attempt to the use of its grant."""
    use.outcome = failure.outcome
    use.server_cold = failure.server_cold
    use.server_leaving = failure.server_leaving
    use.server_fenced = failure.server_fenced


def evaluate_response(
    delivery: Delivery,
    use: GrantUse,
    response: BackendResponse,
) -> AttemptResult:
    """Return the response, or a failure if it is a server error."""
    if not delivery.is_server_failure(response):
        use.outcome = Outcome.SERVED
        use.cost = served_cost(delivery, use, response)
        return Ok(response)
    use.outcome = Outcome.FAILED
    delivery.failed_response = response
    return Error(
        AttemptFailure(
            kind=ErrorKind.BACKEND_FAILED,
            detail=f'the backend server returned status {response.status}',
            run=RunStatus.UNKNOWN,
        )
    )
