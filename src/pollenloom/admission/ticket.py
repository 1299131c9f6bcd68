"""Properties of a request that admission needs."""

from dataclasses import dataclass

from pollenloom.core.ids import (
    AccountId,
    RequestId,
    RouteId,
    ServerId,
    ServiceId,
)
from pollenloom.core.states import Resource


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A request that waits for capacity.

    Attributes:
        request_id: Id of the request.
        account: Client account charged for it.
        service: Service that runs it.
        route: Route of the service.
        resource: Resource it consumes.
        cost_hint: Rough estimate of the cost, in the unit of the resource.
        deadline: Monotonic time in seconds; no grant is used after it.
        prefix_hashes: Hashes of growing prompt prefixes, longest last.
        excluded: Servers that already refused or failed this request.
        retry: Whether the request was sent before; retries go first.
        objective: Target time to the first byte, in seconds; 0 for none.
        time_limit: Seconds that the caller waits, as of its arrival; 0 if not
            known. A repeat has less than the first attempt.
        prompt_tokens: Tokens that a model engine has to read.
        shared_tokens: Those of them that it need not read if it has the
            longest prefix cached.
    """

    request_id: RequestId
    account: AccountId
    service: ServiceId
    route: RouteId
    resource: Resource
    cost_hint: float
    deadline: float
    prefix_hashes: tuple[int, ...] = ()
    excluded: frozenset[ServerId] = frozenset()
    retry: bool = False
    objective: float = 0
    time_limit: float = 0
    prompt_tokens: int = 0
    shared_tokens: int = 0

    @property
    def unshared_tokens(self) -> int:
        """Prompt tokens that every server has to read."""
        return max(0, self.prompt_tokens - self.shared_tokens)
