"""A caller's request after authentication and parsing."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pollenloom.core.ids import AccountId, RequestId, RouteId, ServiceId
from pollenloom.core.states import Resource


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Data that the router needs to serve one request.

    Attributes:
        request_id: Unique id, echoed by the backend server.
        account: Client account that is charged for the request.
        service: Service that runs it.
        route: Route of the service, for metrics and version moves.
        resource: Resource it consumes; determines the unit of `cost_hint`.
        cost_hint: Estimated cost in the unit of the resource; may be wrong
            by a factor of 10.
        deadline: Monotonic time in seconds after which it must not start.
        repeatable: Whether it may be run more than once.
        method: HTTP method.
        path: Path and query to send to the backend server.
        body: Body bytes, sent unchanged.
        headers: Headers to forward, with lower-case names.
        idempotency_key: Value of the Idempotency-Key header; None without it.
        streaming: Whether the response is an event stream.
        prefix_hashes: Hashes of prompt prefixes, longest last.
    """

    request_id: RequestId
    account: AccountId
    service: ServiceId
    route: RouteId
    resource: Resource
    cost_hint: float
    deadline: float
    repeatable: bool
    method: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    idempotency_key: str | None = None
    streaming: bool = False
    prefix_hashes: tuple[int, ...] = ()
