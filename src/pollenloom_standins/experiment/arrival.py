"""One request of the recorded load."""

from enum import Enum, unique

import msgspec

from pollenloom.core.ids import AccountId


@unique
class ArrivalKind(Enum):
    """What a request calls: the model, or an application to read or search."""

    MODEL = 'model'
    READ = 'read'
    SEARCH = 'search'


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request that the load generator sends, one line of the arrivals file.

    The lengths and the conversation are set for model calls only.

    Attributes:
        at: Time to send it, in seconds since the start of the load.
        account: Client account that sends it.
        router: Index of the router that it is sent to.
        kind: Whether it calls the model or the application.
        prompt_characters: Length of the prompt, in characters.
        answer_tokens: Length of the answer, in tokens.
        hint_tokens: `max_tokens` of the request, its only cost hint.
        conversation: Id of the conversation; its requests share a prompt
            prefix.
    """

    at: float
    account: AccountId
    router: int
    kind: ArrivalKind
    prompt_characters: int = 0
    answer_tokens: int = 0
    hint_tokens: int = 0
    conversation: str = ''
