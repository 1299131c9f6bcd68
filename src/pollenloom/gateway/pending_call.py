"""A request on its way, with what was decided about it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pollenloom.core.ids import AccountId, Revision, ServerId, ServiceId
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.routing.request_metadata import RequestMetadata
from pollenloom.routing.route import Route
from pollenloom.routing.route_kind import RouteKind


@dataclass(slots=True)
class PendingCall:
    """One request of a caller.

    Attributes:
        account: None on public routes.
        deadline: Monotonic time in seconds; nothing is sent after it.
        has_budget: Whether the retry budget has room at a monotonic time.
        sends: Servers that the request was sent to.
        tries: Grants that were used, also where no connection was made.
        has_run: Whether a server may have run it.
    """

    request: RawRequest
    metadata: RequestMetadata
    route: Route
    service: ServiceId
    account: AccountId | None
    revision: Revision
    deadline: float
    has_budget: Callable[[float], bool]
    sends: int = 0
    tries: int = 0
    has_run: bool = False
    waited: float = 0
    first_byte: float | None = None
    server: ServerId | None = None
    failed: set[ServerId] = field(default_factory=set)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route.kind is RouteKind.STREAMING

    def has_sends_left(self) -> bool:
        """Whether the route lets it be sent to one more server."""
        return self.sends < self.route.max_attempts

    def may_repeat(self, now: float) -> bool:
        """Whether a request that may have run can be sent once more."""
        is_allowed = self.route.is_repeatable and self.has_sends_left()
        return is_allowed and self.has_budget(now)
