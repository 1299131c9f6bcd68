"""Answers in the OpenAI form."""

import msgspec


class CompletionUsage(msgspec.Struct, frozen=True):
    """Tokens of a request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ResponseMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Message of a chat answer, or what an event adds to it."""

    role: str | None = None
    content: str | None = None


class ChatChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of a whole chat answer."""

    message: ResponseMessage
    finish_reason: str
    index: int = 0


class ChatEventChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of one event of a chat stream."""

    delta: ResponseMessage
    finish_reason: str | None = None
    index: int = 0


class TextChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of a text answer or of one event of its stream."""

    text: str
    finish_reason: str | None = None
    index: int = 0
    logprobs: None = None


class CompletionResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer or one event of a stream."""

    id: str
    object: str
    created: int
    model: str
    system_fingerprint: str
    choices: tuple[ChatChoice | ChatEventChoice | TextChoice, ...]
    usage: CompletionUsage | None = None
