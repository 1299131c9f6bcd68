"""State of one request across its attempts."""

from http import HTTPStatus
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from pollenloom.admission.ticket import Ticket
from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import ServerId
from pollenloom.core.states import Outcome, RunStatus
from pollenloom.dispatch.attempt_failure import AttemptFailure
from pollenloom.dispatch.backend_response import BackendResponse
from pollenloom.dispatch.event_relay import EventRelay
from pollenloom.frontend.stop_limits import stopping_failure

if TYPE_CHECKING:
    import asyncio


class Delivery:
    """Decides whether to retry a request and which result to report.

    Attributes:
        request: The caller's request.
        relay: Relay of the event stream; None if no stream was requested.
        excluded: Servers that refused the request or failed.
        attempts: Number of attempts that were sent.
        is_sending: Whether an attempt is in progress.
        unused_grants: Number of grants that arrived too late.
        run: Whether any attempt was run by a backend server.
        failed_response: Last response with a server error; None if there
            was none.
        cancel_tasks: Tasks that ask servers to cancel earlier attempts.
    """

    def __init__(
        self,
        request: CallerRequest,
        relay: EventRelay | None,
    ) -> None:
        self.request = request
        self.relay = relay
        self.excluded: set[ServerId] = set()
        self.attempts = 0
        self.is_sending = False
        self.unused_grants = 0
        self.run = RunStatus.NO
        self.failed_response: BackendResponse | None = None
        self.cancel_tasks: set[asyncio.Task[None]] = set()

    @property
    def relayed_events(self) -> int:
        """Number of events that the caller already received."""
        return 0 if self.relay is None else self.relay.events

    def ticket(self) -> Ticket:
        """Return the admission ticket for the next attempt."""
        request = self.request
        return Ticket(
            request_id=request.request_id,
            account=request.account,
            service=request.service,
            route=request.route,
            resource=request.resource,
            cost_hint=request.cost_hint,
            deadline=request.deadline,
            prefix_hashes=request.prefix_hashes,
            excluded=frozenset(self.excluded),
            retry=self.attempts > 0,
        )

    def record_failure(self, server: ServerId, failure: AttemptFailure) -> None:
        """Update the state after a failed attempt."""
        if failure.outcome is Outcome.UNUSED:
            self.unused_grants += 1
        if failure.exclude_server:
            self.excluded.add(server)
        if self.run is RunStatus.NO or failure.run is RunStatus.YES:
            self.run = failure.run
        if self.relay is not None:
            self.relay.drop_partial()

    def may_send_again(
        self,
        failure: AttemptFailure,
        now: float,
        max_attempts: int,
    ) -> bool:
        """Whether a further attempt is safe and within the limits.

        Args:
            failure: Failure of the previous attempt.
            now: Monotonic time in seconds.
            max_attempts: Maximum number of attempts.
        """
        if now >= self.request.deadline or self.attempts >= max_attempts:
            return False
        return failure.run is RunStatus.NO or self.request.repeatable

    def is_server_failure(self, response: BackendResponse) -> bool:
        """Whether a response counts as a failure of the backend server.

        A resumed stream must continue as a stream, since any other response
        cannot follow the events that the caller already received.
        """
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return True
        unfinished = self.relay is not None and not self.relay.finished
        return bool(self.relayed_events) and unfinished

    def finish_without_grant(
        self, failure: Failure
    ) -> Result[BackendResponse, Failure]:
        """Return the result when admission gives no grant.

        The failure of admission is reported only if no attempt may have run,
        since it says nothing about earlier attempts.
        """
        if self.run is RunStatus.NO:
            return Error(failure)
        return self.make_result(self.kind_after_run(), failure.detail)

    def finish_at_stop(self) -> Result[BackendResponse, Failure]:
        """Return the result when a planned stop ends the request."""
        if self.is_sending and self.run is RunStatus.NO:
            self.run = RunStatus.UNKNOWN
        return self.finish_without_grant(stopping_failure())

    def finish_after_failure(
        self,
        failure: AttemptFailure,
    ) -> Result[BackendResponse, Failure]:
        """Return the result after the last attempt failed."""
        if self.run is not RunStatus.NO:
            return self.make_result(self.kind_after_run(), failure.detail)
        kind = failure.kind
        if self.attempts > 1:
            kind = ErrorKind.RETRIES_EXHAUSTED
        return self.make_result(kind, failure.detail)

    def make_result(
        self,
        kind: ErrorKind,
        detail: str,
    ) -> Result[BackendResponse, Failure]:
        """Return the last error response of a server, else the failure.

        An error response cannot follow events that were already relayed.
        """
        if self.failed_response is not None and not self.relayed_events:
            return Ok(self.failed_response)
        return Error(Failure(kind, detail))

    def kind_after_run(self) -> ErrorKind:
        """Return the kind for a request that was or may have been run."""
        if not self.request.repeatable:
            return ErrorKind.ORDER_OUTCOME_UNKNOWN
        if self.run is RunStatus.YES:
            return ErrorKind.RESPONSE_TRUNCATED
        return ErrorKind.BACKEND_FAILED
