"""State of a request that is being routed."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pollenloom.core.ids import (
    AccountId,
    PromptPartId,
    Revision,
    ServerId,
    ServiceId,
)
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.response_trace import ResponseTrace
from pollenloom.routing.request_metadata import RequestMetadata
from pollenloom.routing.route import Route
from pollenloom.routing.route_kind import RouteKind


@dataclass(slots=True)
class PendingCall:
    """One request of a caller and its progress.

    Attributes:
        account: Client account; None on public routes or if no API keys are
            configured.
        revision: Revision of the configuration that routed the request.
        deadline: Monotonic time in seconds; nothing is sent after it.
        identity: Identity of the request, the same when it comes again.
        has_retry_budget: Returns whether the retry budget has room at a
            monotonic time.
        send_count: How often the request was sent to a backend server.
        grant_count: Grants used, including those without a connection.
        may_have_run: Whether a backend server may have run the request.
        waited_seconds: Total time spent waiting for grants.
        first_byte_seconds: Time from receiving the request to the first byte
            that an attempt recorded; None before that.
        server: Backend server of the latest attempt.
        is_trial: Whether it tries a prompt that is blocked.
        failed_servers: Backend servers on which an attempt failed.
        trace: How the latest response arrived; None before its head.
    """

    request: RawRequest
    metadata: RequestMetadata
    route: Route
    service: ServiceId
    account: AccountId | None
    revision: Revision
    deadline: float
    identity: PromptPartId
    has_retry_budget: Callable[[float], bool]
    send_count: int = 0
    grant_count: int = 0
    may_have_run: bool = False
    waited_seconds: float = 0
    first_byte_seconds: float | None = None
    server: ServerId | None = None
    is_trial: bool = False
    failed_servers: set[ServerId] = field(default_factory=set)
    trace: ResponseTrace | None = None

    @property
    def is_stream(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def evidence_parts(self) -> tuple[PromptPartId, ...]:
        """Shared parts of the prompt, and the identity of the request.

        In a crash of its server, one of them may have been the cause.
        """
        return (*self.metadata.shared_part_ids, self.identity)

    def count_body(self, part: bytes) -> None:
        """Add a part of the body to what is recorded of the response."""
        if self.trace is not None:
            self.trace.body_bytes += len(part)

    def has_sends_left(self) -> bool:
        """Whether the route allows sending to one more backend server."""
        return self.send_count < self.route.max_attempts

    def may_retry(self, now: float) -> bool:
        """Whether a request that may have run can be sent again."""
        is_allowed = self.route.is_repeatable and self.has_sends_left()
        return is_allowed and self.has_retry_budget(now)
