"""What admission needs to know of a request."""

from dataclasses import dataclass
from typing import Final

from pollenloom.core.ids import (
    AccountId,
    RequestId,
    RouteId,
    ServerId,
    ServiceId,
)
from pollenloom.core.states import Resource
from pollenloom.routing.prompt_size import PromptSize

# A prompt or shared part that takes longer than some 60 ms to read.
LONG_TOKENS: Final = 4000
# An engine generates a token of one request in the time in which it reads
# about 20 of a prompt, when it runs a dozen requests.
TOKENS_READ_PER_OUTPUT: Final = 20.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A request that waits for capacity.

    Attributes:
        request_id: Id of the request.
        account: Client account charged for it.
        service: Service that runs it.
        route: Route of the service.
        resource: Resource it consumes.
        cost_hint: Rough cost, in the unit of the resource.
        deadline: Monotonic time in seconds; no grant is used after it.
        prefix_hashes: Hashes of growing prompt prefixes, longest last.
        excluded: Servers that already refused or failed this request.
        retry: Whether the request was sent before; retries go first.
        objective: Time in seconds within which the first byte is prompt; 0
            if none is stated.
        prompt_tokens: Tokens that a model engine has to read.
        shared_tokens: Those that it need not read if it keeps the longest of
            the prefixes.
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
    prompt_tokens: int = 0
    shared_tokens: int = 0

    @property
    def prompt_size(self) -> PromptSize:
        """Whether it is served with long prompts.

        A prompt with a long shared part is, whatever its own part, so that
        the shared part is kept in one place.
        """
        is_long = max(self.own_tokens, self.shared_tokens) > LONG_TOKENS
        return PromptSize.LONG if is_long else PromptSize.SHORT

    @property
    def engine_cost(self) -> float:
        """Engine time that it takes, in tokens read."""
        output = max(0, self.cost_hint - self.prompt_tokens) / 2
        return self.own_tokens + output * TOKENS_READ_PER_OUTPUT

    @property
    def own_tokens(self) -> int:
        """Prompt tokens that every server has to read."""
        return max(0, self.prompt_tokens - self.shared_tokens)
