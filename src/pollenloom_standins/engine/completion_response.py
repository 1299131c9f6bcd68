"""Responses in the OpenAI format."""

import msgspec


class CompletionUsage(msgspec.Struct, frozen=True):
    """Numbers of tokens of a request and its response."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ResponseMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Message of a chat response, or the part that an event adds."""

    role: str | None = None
    content: str | None = None


class ChatChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of a chat response that is not a stream."""

    message: ResponseMessage
    finish_reason: str
    index: int = 0


class ChatEventChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of one event of a chat stream."""

    delta: ResponseMessage
    finish_reason: str | None = None
    index: int = 0


class TextChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of a text response or of one event of its stream."""

    text: str
    finish_reason: str | None = None
    index: int = 0
    logprobs: None = None


class CompletionResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response or one event of a stream."""

    id: str
    object: str
    created: int
    model: str
    system_fingerprint: str
    choices: tuple[ChatChoice | ChatEventChoice | TextChoice, ...]
    usage: CompletionUsage | None = None
