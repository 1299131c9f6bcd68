"""Progress of one request over its attempts."""

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

if TYPE_CHECKING:
    import asyncio


class Delivery:
    """Decides whether a request may be sent again and how it failed.

    Attributes:
        request: The caller's request.
        relay: Relay of its event stream; none for a whole answer.
        excluded: Servers that refused or failed it.
        attempts: Attempts that were sent.
        unused_grants: Grants that came too late.
        run: Whether any attempt was run.
        failed_answer: Last answer with a server error, if any.
        cancels: Tasks that tell servers to give up earlier attempts.
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
        self.unused_grants = 0
        self.run = RunStatus.NO
        self.failed_answer: BackendResponse | None = None
        self.cancels: set[asyncio.Task[None]] = set()

    @property
    def relayed_events(self) -> int:
        """Events that the caller already has."""
        return 0 if self.relay is None else self.relay.events

    def ticket(self) -> Ticket:
        """Return what admission needs for the next attempt."""
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

    def note_failure(self, server: ServerId, failure: AttemptFailure) -> None:
        """Remember what a failed attempt leaves behind."""
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
        attempts: int,
    ) -> bool:
        """Whether a further attempt is safe and can still be in time."""
        if now >= self.request.deadline or self.attempts >= attempts:
            return False
        return failure.run is RunStatus.NO or self.request.repeatable

    def is_fault(self, answer: BackendResponse) -> bool:
        """Whether an answer stands for a failure of its server.

        A resumed stream must go on as a stream: any other answer cannot
        follow the events that the caller has.
        """
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return True
        unfinished = self.relay is not None and not self.relay.finished
        return bool(self.relayed_events) and unfinished

    def give_up(self, failure: Failure) -> Result[BackendResponse, Failure]:
        """Return what to report when admission gives no grant.

        What admission reports is true of the last attempt only.
        """
        if self.run is RunStatus.NO:
            return Error(failure)
        return self.conclude(self.kind_after_run(), failure.detail)

    def finish(
        self,
        failure: AttemptFailure,
    ) -> Result[BackendResponse, Failure]:
        """Return what to report after the last attempt failed."""
        if self.run is not RunStatus.NO:
            return self.conclude(self.kind_after_run(), failure.detail)
        kind = failure.kind
        if self.attempts > 1:
            kind = ErrorKind.RETRIES_EXHAUSTED
        return self.conclude(kind, failure.detail)

    def conclude(
        self,
        kind: ErrorKind,
        detail: str,
    ) -> Result[BackendResponse, Failure]:
        """Prefer a server's own error answer while nothing was relayed."""
        if self.failed_answer is not None and not self.relayed_events:
            return Ok(self.failed_answer)
        return Error(Failure(kind, detail))

    def kind_after_run(self) -> ErrorKind:
        """Return the kind for a request that was or may have been run."""
        if not self.request.repeatable:
            return ErrorKind.ORDER_OUTCOME_UNKNOWN
        if self.run is RunStatus.YES:
            return ErrorKind.ANSWER_CUT
        return ErrorKind.BACKEND_FAILED
