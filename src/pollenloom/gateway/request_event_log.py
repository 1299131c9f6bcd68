"""Event log lines and metrics of requests."""

from typing import Final, Self

from pollenloom.admission.grant import Grant
from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.gateway.attempt_end import AttemptEnd, AttemptState
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.response_trace import ResponseTrace
from pollenloom.kernel.clock import Clock
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog, EventValue
from pollenloom.observability.event_name import EventName
from pollenloom.observability.line_budget import LineBudget
from pollenloom.observability.metrics import Metrics
from pollenloom.routing.request_metadata import RequestMetadata

# Shared parts of a prompt, and the identity of the request, in a log line: the
# last ones, which fewest requests have.
LOGGED_PARTS: Final = 8


class RequestEventLog:
    """Writes one line for each decision about a request.

    Attributes:
        rejection_line_budget: Limit on the lines of requests that are rejected
            for load.
    """

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
        self.rejection_line_budget = LineBudget()

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Create the log from the services of a kernel."""
        return cls(
            kernel.clock,
            kernel.find(KernelServiceName.EVENTS, EventLog),
            kernel.find(KernelServiceName.METRICS, Metrics),
            kernel.find(
                KernelServiceName.CATALOGUE,
                Catalogue,
            ),
        )

    def rejected(self, metadata: RequestMetadata, failure: Failure) -> None:
        """Record a request that was rejected before it had a service."""
        self.metrics.count_request(None, failure.kind)
        self.record_rejection(metadata.request_id, failure)

    def rejected_unread(self, failure: Failure) -> None:
        """Record a request that was rejected without being evaluated."""
        self.metrics.count_request(None, failure.kind)
        self.record_rejection('', failure)

    def record_rejection(self, request_id: str, failure: Failure) -> None:
        """Write the line of a rejected request, within the line limit."""
        if not self.may_record(failure.kind):
            return
        configuration = self.catalogue.configuration
        self.events.record(
            EventName.REQUEST_ENDED,
            request_id,
            outcome=failure.kind.value,
            status=failure.response.status,
            reason=failure.detail,
            revision=configuration.revision if configuration else 0,
        )

    def may_record(self, kind: ErrorKind) -> bool:
        """Whether a line may be written; rejections for load are limited.

        Records how many lines were dropped before the next one is written.
        """
        if kind is not ErrorKind.NO_CAPACITY:
            return True
        if not self.rejection_line_budget.may_write(self.clock.monotonic()):
            return False
        dropped = self.rejection_line_budget.take_dropped()
        if dropped:
            self.events.record(
                EventName.LINES_DROPPED,
                kind.value,
                lines=dropped,
            )
        return True

    def ended(self, call: PendingCall, end: AttemptEnd) -> None:
        """Record how a call ended."""
        kind = end.failure.kind if end.failure else None
        self.metrics.count_request(call.service, kind)
        seconds = self.clock.monotonic() - call.request.received_at
        if end.state is AttemptState.ANSWERED and call.account is not None:
            first_byte_seconds = call.first_byte_seconds or seconds
            self.metrics.observe_response(
                call.service,
                call.account,
                first_byte_seconds,
                seconds,
            )
        if end.failure is None:
            self.record(call, end.state.value, end.status, '')
            return
        if not self.may_record(end.failure.kind):
            return
        status = end.status or end.failure.response.status
        self.record(call, end.failure.kind.value, status, end.failure.detail)

    def caller_disconnected(self, call: PendingCall) -> None:
        """Record that the caller disconnected before the response ended."""
        self.record(call, 'caller_left', 0, 'the caller closed the connection')

    def record(
        self,
        call: PendingCall,
        outcome: str,
        status: int,
        reason: str,
    ) -> None:
        """Write the line of a routed request; `reason` may be empty."""
        seconds = self.clock.monotonic() - call.request.received_at
        first_byte_seconds = call.first_byte_seconds
        self.events.record(
            EventName.REQUEST_ENDED,
            call.metadata.request_id,
            route=call.route.route,
            service=call.service,
            account=call.account,
            server=call.server,
            outcome=outcome,
            status=status,
            attempts=call.send_count,
            reason=reason,
            revision=call.revision,
            waited_ms=round(call.waited_seconds * MILLISECONDS_PER_SECOND),
            first_byte_ms=None
            if first_byte_seconds is None
            else round(first_byte_seconds * MILLISECONDS_PER_SECOND),
            total_ms=round(seconds * MILLISECONDS_PER_SECOND),
            **trace_fields(call.trace),
        )

    def attempt_failed(
        self,
        call: PendingCall,
        grant: Grant,
        end: AttemptEnd,
        answered_seconds: float | None,
    ) -> None:
        """Record why an attempt failed and how old the server entry was.

        Args:
            call: The request.
            grant: Grant of the attempt.
            end: End of the attempt.
            answered_seconds: Time since the first byte of the response; None
                if there was none.
        """
        known = self.catalogue.directory.servers.get(grant.server.server)
        now = self.clock.monotonic()
        self.events.record(
            EventName.ATTEMPT_FAILED,
            call.metadata.request_id,
            server=grant.server.server,
            reason=end.failure.detail if end.failure else '',
            run=end.state.value,
            entry_version=known.version.offset if known else None,
            entry_age_ms=round((now - known.read_at) * MILLISECONDS_PER_SECOND)
            if known
            else None,
            answered_ms=None
            if answered_seconds is None
            else round(answered_seconds * MILLISECONDS_PER_SECOND),
            parts=','.join(call.evidence_parts[-LOGGED_PARTS:]),
            **trace_fields(call.trace),
        )

    def retried(self, call: PendingCall, end: AttemptEnd) -> None:
        """Record that a call is sent again."""
        self.metrics.retries.labels(call.service).inc()
        self.events.record(
            EventName.RETRY,
            call.metadata.request_id,
            service=call.service,
            attempt=call.send_count,
            run=end.state.value,
        )


def trace_fields(trace: ResponseTrace | None) -> dict[str, EventValue]:
    """Return the fields on how a response arrived; empty without one."""
    if trace is None:
        return {}
    fields: dict[str, EventValue] = {
        'framing': trace.framing,
        'kept_connection': trace.is_kept_connection,
        'body_bytes': trace.body_bytes,
    }
    evidence = trace.end_evidence
    if evidence is not None and trace.end_verdict is not None:
        fields |= {
            'end': trace.end_verdict,
            'new_connection': evidence.new_connection,
            'earlier_connections': evidence.earlier_connections,
            'is_leaving': evidence.is_leaving,
            'has_paused': evidence.has_paused,
        }
    return fields
