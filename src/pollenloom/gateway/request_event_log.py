"""Log lines and metrics of requests."""

from typing import Self

from pollenloom.admission.grant import Grant
from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.units import MILLISECONDS
from pollenloom.gateway.attempt_end import AttemptEnd, AttemptState
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.kernel.clock import Clock
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.observability.line_budget import LineBudget
from pollenloom.observability.metrics import Metrics
from pollenloom.routing.request_metadata import RequestMetadata


class RequestEventLog:
    """Tells what became of each request, one line for each decision."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        catalogue: Catalogue,
    ) -> None:
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.catalogue = catalogue
        self.refusals = LineBudget()

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Find the services that it writes to."""
        return cls(
            kernel.clock,
            kernel.find(KernelServiceName.EVENTS, EventLog),
            kernel.find(KernelServiceName.METRICS, Metrics),
            kernel.find(
                KernelServiceName.CATALOGUE,
                Catalogue,
            ),
        )

    def refused(self, metadata: RequestMetadata, failure: Failure) -> None:
        """Tell of a request that no service got."""
        self.metrics.count_request(None, failure.kind)
        self.refuse(metadata.request_id, failure)

    def turned_away(self, failure: Failure) -> None:
        """Tell of a request that was not even looked at."""
        self.metrics.count_request(None, failure.kind)
        self.refuse('', failure)

    def refuse(self, request_id: str, failure: Failure) -> None:
        """Write the line of a request that no service got."""
        if not self.may_tell(failure.kind):
            return
        configuration = self.catalogue.configuration
        self.events.record(
            EventName.REQUEST_ENDED,
            request_id,
            outcome=failure.kind.value,
            status=failure.answer.status,
            reason=failure.detail,
            revision=configuration.revision if configuration else 0,
        )

    def may_tell(self, kind: ErrorKind) -> bool:
        """Whether a line may be written; refusals for load are bounded."""
        if kind is not ErrorKind.NO_CAPACITY:
            return True
        if not self.refusals.may_write(self.clock.monotonic()):
            return False
        dropped = self.refusals.take_dropped()
        if dropped:
            self.events.record(
                EventName.LINES_LEFT_OUT,
                kind.value,
                lines=dropped,
            )
        return True

    def ended(self, call: PendingCall, end: AttemptEnd) -> None:
        """Tell how a call ended."""
        kind = end.failure.kind if end.failure else None
        self.metrics.count_request(call.service, kind)
        seconds = self.clock.monotonic() - call.request.received_at
        if end.state is AttemptState.ANSWERED and call.account is not None:
            first_byte = call.first_byte or seconds
            self.metrics.observe_answer(
                call.service,
                call.account,
                first_byte,
                seconds,
            )
        if end.failure is None:
            self.record(call, end.state.value, end.status, '')
            return
        if not self.may_tell(end.failure.kind):
            return
        status = end.status or end.failure.answer.status
        self.record(call, end.failure.kind.value, status, end.failure.detail)

    def caller_left(self, call: PendingCall) -> None:
        """Tell that a caller did not wait for the answer."""
        self.record(call, 'caller_left', 0, 'the connection was closed')

    def record(
        self,
        call: PendingCall,
        outcome: str,
        status: int,
        reason: str,
    ) -> None:
        """Write the line of a request that was routed."""
        seconds = self.clock.monotonic() - call.request.received_at
        first_byte = call.first_byte
        self.events.record(
            EventName.REQUEST_ENDED,
            call.metadata.request_id,
            route=call.route.route,
            service=call.service,
            account=call.account,
            server=call.server,
            outcome=outcome,
            status=status,
            attempts=call.sends,
            reason=reason,
            revision=call.revision,
            waited_ms=round(call.waited * MILLISECONDS),
            first_byte_ms=None
            if first_byte is None
            else round(first_byte * MILLISECONDS),
            total_ms=round(seconds * MILLISECONDS),
        )

    def attempt_failed(
        self,
        call: PendingCall,
        grant: Grant,
        end: AttemptEnd,
    ) -> None:
        """Tell why a server did not answer, and how old its entry was."""
        known = self.catalogue.directory.servers.get(grant.server.server)
        now = self.clock.monotonic()
        self.events.record(
            EventName.ATTEMPT_FAILED,
            call.metadata.request_id,
            server=grant.server.server,
            reason=end.failure.detail if end.failure else '',
            run=end.state.value,
            entry_version=known.version if known else None,
            entry_age_ms=round((now - known.read_at) * MILLISECONDS)
            if known
            else None,
        )

    def sent_again(self, call: PendingCall, end: AttemptEnd) -> None:
        """Tell that a call goes to another server."""
        self.metrics.retries.labels(call.service).inc()
        self.events.record(
            EventName.RETRY,
            call.metadata.request_id,
            service=call.service,
            attempt=call.sends,
            run=end.state.value,
        )
