"""Routes requests to backend servers, with retries."""

import asyncio
import math
from typing import TYPE_CHECKING, ClassVar, Final

from expression import Error, Result

from pollenloom.admission.admission import Admission
from pollenloom.admission.grant import Grant
from pollenloom.admission.settlement import Settlement
from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.states import Outcome
from pollenloom.frontend.stop_limits import StopLimits, stopping_failure
from pollenloom.gateway.attempt_end import (
    AttemptEnd,
    AttemptState,
    make_unanswered_end,
)
from pollenloom.gateway.call_factory import CallFactory, make_ticket
from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.event_splitter import EventSplitter
from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.prompt_guard import PromptGuard
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.request_attempt import RequestAttempt
from pollenloom.gateway.request_event_log import RequestEventLog
from pollenloom.gateway.response_body import ResponseBody
from pollenloom.gateway.response_writer import ResponseWriter
from pollenloom.gateway.server_checks import ServerChecks
from pollenloom.gateway.server_connection_pool import ServerConnectionPool
from pollenloom.gateway.server_event import ResponseHead
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.settings.settings_holder import SettingsHolder

if TYPE_CHECKING:
    from pollenloom.gateway.headers import Header

# Grants that a request may use while connections to backend servers fail. Most
# of these grants are used without sending anything.
MAX_GRANTS: Final = 4
DEFAULT_RETRY_AFTER_SECONDS: Final = 0.5


class Relay(KernelService):
    """Handles the requests of callers; `handle_request` is called for each.

    Attributes:
        stop_limits: Time limits that a planned stop brings forward.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.DISPATCH

    def __init__(self, kernel: Kernel, header_codec: HeaderCodec) -> None:
        self.kernel = kernel
        self.header_codec = header_codec
        self.stop_limits = StopLimits(kernel.clock)

    async def start(self) -> None:
        """Find the services that requests need."""
        self.call_factory = CallFactory(
            self.kernel.find(KernelServiceName.SETTINGS, SettingsHolder),
            self.kernel.find(KernelServiceName.CATALOGUE, Catalogue),
            self.kernel.find(KernelServiceName.FLEET_DIRECTORY, FleetDirectory),
        )
        self.admission = self.kernel.find(
            KernelServiceName.ADMISSION,
            Admission,
        )
        self.connection_pool = self.kernel.find(
            KernelServiceName.SERVER_CONNECTION_POOL,
            ServerConnectionPool,
        )
        self.prompt_guard = self.kernel.find(
            KernelServiceName.PROMPT_GUARD,
            PromptGuard,
        )
        self.server_checks = self.kernel.find(
            KernelServiceName.SERVER_CHECKS,
            ServerChecks,
        )
        self.event_log = RequestEventLog.from_kernel(self.kernel)

    async def stop(self) -> None:
        """Do nothing; requests run in the tasks of their connections."""

    async def handle_request(
        self,
        channel: CallerChannel,
        request: RawRequest,
        *,
        keeps_alive: bool,
    ) -> bool:
        """Respond to a request; return whether to keep the connection."""
        writer = ResponseWriter(channel, keeps_alive=keeps_alive)
        metadata = self.header_codec.read_metadata(request)
        now = self.kernel.clock.monotonic()
        prepared = self.call_factory.prepare(request, metadata, now)
        if prepared.is_error():
            self.event_log.rejected(metadata, prepared.error)
            await self.reject(writer, prepared.error)
            return keeps_alive
        call = prepared.ok
        try:
            end = await self.run_until_deadline(call, writer)
        except asyncio.CancelledError:
            self.event_log.caller_disconnected(call)
            raise
        self.event_log.ended(call, end)
        self.record_duration(call)
        if end.state is not AttemptState.ANSWERED:
            return await self.respond_unanswered(call, end, writer)
        return keeps_alive and writer.is_complete

    async def reject_unread(
        self,
        writer: ResponseWriter,
        failure: Failure,
    ) -> None:
        """Reject a request without evaluating it."""
        self.event_log.rejected_unread(failure)
        await self.reject(writer, failure)

    async def run_until_deadline(
        self,
        call: PendingCall,
        writer: ResponseWriter,
    ) -> AttemptEnd:
        """Run attempts until one succeeds or the deadline passes.

        The end of a planned stop may come before the deadline.
        """
        try:
            async with self.stop_limits.until(
                lambda plan: min(call.deadline, plan.ends_at)
            ):
                return await self.run_attempts(call, writer)
        except TimeoutError:
            return make_unanswered_end(
                self.late_failure(call),
                may_have_run=call.may_have_run,
                has_started=writer.has_started,
            )

    def late_failure(self, call: PendingCall) -> Failure:
        """Return why a request that reached its time limit is ended."""
        if call.deadline > self.stop_limits.plan.ends_at:
            self.stop_limits.cut_requests += 1
            if call.may_have_run:
                return Failure(ErrorKind.BACKEND_TIMEOUT, 'the router stops')
            return stopping_failure()
        kind = ErrorKind.DEADLINE_UNREACHABLE
        if call.may_have_run:
            kind = ErrorKind.BACKEND_TIMEOUT
        return Failure(kind, 'the deadline passed')

    def record_duration(self, call: PendingCall) -> None:
        """Record how long a request took that was sent.

        One that was ended at its time limit could have taken any time.
        """
        if not call.send_count:
            return
        now = self.kernel.clock.monotonic()
        seconds = now - call.request.received_at - call.waited_seconds
        if now >= call.deadline:
            seconds = math.inf
        self.stop_limits.durations.add(call.route.route, seconds)

    async def run_attempts(
        self,
        call: PendingCall,
        writer: ResponseWriter,
    ) -> AttemptEnd:
        """Send the request until a response is relayed or retries must stop."""
        splitter = EventSplitter(call.metadata.last_event_id)
        while True:
            acquired = await self.acquire(call)
            if acquired.is_error():
                return make_unanswered_end(
                    acquired.error,
                    may_have_run=call.may_have_run,
                    has_started=writer.has_started,
                )
            end = await self.attempt(call, acquired.ok, writer, splitter)
            if not self.take_retry(call, end):
                return end
            self.event_log.retried(call, end)

    async def acquire(self, call: PendingCall) -> Result[Grant, Failure]:
        """Wait for a grant and add up the waiting time.

        A prompt may be blocked while its request waits.
        """
        blocked = await self.prompt_guard.admit(call)
        if blocked is not None:
            return Error(blocked)
        clock = self.kernel.clock
        began = clock.monotonic()
        acquired = await self.wait_for_grant(call)
        call.waited_seconds += clock.monotonic() - began
        blocked = self.prompt_guard.check(call)
        if acquired.is_error() or blocked is None:
            return acquired
        self.admission.settle(
            Settlement(grant=acquired.ok, outcome=Outcome.UNUSED)
        )
        return Error(blocked)

    async def wait_for_grant(self, call: PendingCall) -> Result[Grant, Failure]:
        """Wait for a grant as long as the request may be passed on."""
        try:
            async with self.stop_limits.while_sendable(
                call.route.route, call.deadline
            ):
                return await self.admission.acquire(make_ticket(call))
        except TimeoutError:
            return Error(stopping_failure())

    async def attempt(
        self,
        call: PendingCall,
        grant: Grant,
        writer: ResponseWriter,
        splitter: EventSplitter,
    ) -> AttemptEnd:
        """Use a grant for one attempt."""
        call.server = grant.server.server
        call.grant_count += 1
        request_attempt = RequestAttempt(
            call=call,
            grant=grant,
            writer=writer,
            splitter=splitter,
            clock=self.kernel.clock,
            header_codec=self.header_codec,
            admission=self.admission,
            prompt_guard=self.prompt_guard,
            server_checks=self.server_checks,
            stop_limits=self.stop_limits,
            began_at=self.kernel.clock.uptime(),
            body=ResponseBody(self.header_codec),
        )
        end = await request_attempt.run(self.connection_pool)
        if end.state is not AttemptState.ANSWERED:
            if request_attempt.outcome is not Outcome.UNUSED:
                call.failed_servers.add(grant.server.server)
            self.event_log.attempt_failed(
                call,
                grant,
                end,
                request_attempt.answered_seconds(self.kernel.clock.monotonic()),
            )
        if (
            request_attempt.first_byte_seconds is not None
            and call.first_byte_seconds is None
        ):
            sent_after = request_attempt.sent_at - call.request.received_at
            call.first_byte_seconds = (
                sent_after + request_attempt.first_byte_seconds
            )
        return end

    def take_retry(self, call: PendingCall, end: AttemptEnd) -> bool:
        """Whether to send the request again; consumes the retry budget."""
        is_repeatable = call.route.is_repeatable
        if end.state is AttemptState.ANSWERED:
            return False
        if end.state is AttemptState.UNSENT:
            # Nothing was sent, so the retry budget is not charged again.
            is_allowed = is_repeatable or not call.may_have_run
            return is_allowed and call.grant_count < MAX_GRANTS
        if not call.has_sends_left():
            return False
        if end.state is not AttemptState.REJECTED and (
            not is_repeatable or self.prompt_guard.is_suspect(call)
        ):
            return False
        now = self.kernel.clock.monotonic()
        return self.call_factory.retry_budget(call.service, now).take(now)

    async def respond_unanswered(
        self,
        call: PendingCall,
        end: AttemptEnd,
        writer: ResponseWriter,
    ) -> bool:
        """Reject a request, or abort a response that was partly written.

        Returns whether the connection can be kept.
        """
        if writer.has_started:
            # A truncated response must not look complete.
            writer.channel.abort()
            return False
        failure = end.failure or Failure(
            ErrorKind.INTERNAL, 'no failure was recorded'
        )
        if call.may_have_run and failure.response.run.value != 'unknown':
            failure = Failure(ErrorKind.BACKEND_FAILED, failure.detail)
        await self.reject(writer, failure)
        return writer.keeps_alive

    async def reject(self, writer: ResponseWriter, failure: Failure) -> None:
        """Write the error response of a failure."""
        error_response = failure.response
        retry_after = failure.retry_after_seconds
        if error_response.retryable and retry_after is None:
            retry_after = DEFAULT_RETRY_AFTER_SECONDS
        headers: list[Header] = [(b'content-type', b'text/plain')]
        headers.extend(self.header_codec.rejection_headers(retry_after))
        head = ResponseHead(
            error_response.status, tuple(headers), is_framed=True
        )
        body = f'{failure.kind.value}: {error_response.title}\n'
        await writer.write_response(head, body.encode())
