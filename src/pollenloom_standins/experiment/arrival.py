"""One recorded arrival of a request."""

from enum import Enum, unique

import msgspec

from pollenloom.core.ids import AccountId


@unique
class ArrivalKind(Enum):
    """What a request calls."""

    MODEL = 'model'
    READ = 'read'
    SEARCH = 'search'


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request that the load generator sends.

    Attributes:
        at: Seconds since the start of the load.
        account: Client account that sends it.
        router: Index of the router that receives it.
        kind: What it calls.
        prompt_characters: Length of the prompt.
        answer_tokens: Length of the answer.
        hint_tokens: `max_tokens` of the request, its only cost hint.
        conversation: Requests of the same one share a prompt prefix.
    """

    at: float
    account: AccountId
    router: int
    kind: ArrivalKind
    prompt_characters: int = 0
    answer_tokens: int = 0
    hint_tokens: int = 0
    conversation: str = ''
