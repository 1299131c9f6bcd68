"""The parts of a model request that the router reads."""

from typing import Annotated, Final

import msgspec

DEFAULT_MAX_TOKENS: Final = 256

# Far above any context length; keeps cost hints finite.
MaxTokens = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]
Choices = Annotated[int, msgspec.Meta(ge=1, le=128)]


class ModelBody(msgspec.Struct, frozen=True):
    """Fields that both published request forms share; others are ignored."""

    model: str
    stream: bool | None = False
    max_tokens: MaxTokens | None = None
    max_completion_tokens: MaxTokens | None = None
    choices: Choices | None = msgspec.field(default=None, name='n')

    def tokens_to_generate(self) -> int:
        """Return the most tokens that the answer may have."""
        limit = self.max_completion_tokens
        if limit is None:
            limit = self.max_tokens
        if limit is None:
            limit = DEFAULT_MAX_TOKENS
        return limit * (self.choices or 1)


class ChatBody(ModelBody, frozen=True, kw_only=True):
    """Body of `POST /v1/chat/completions`."""

    messages: Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]

    def prompt(self) -> bytes:
        """Return the bytes that growing conversations have in common."""
        return b','.join(bytes(message) for message in self.messages)


class CompletionBody(ModelBody, frozen=True, kw_only=True):
    """Body of `POST /v1/completions`."""

    prompt_json: msgspec.Raw = msgspec.field(name='prompt')

    def prompt(self) -> bytes:
        """Return the prompt as JSON: a text, texts or token numbers."""
        return bytes(self.prompt_json)
