"""Fields of a model request that the router reads."""

from typing import Annotated, Final

import msgspec

DEFAULT_MAX_TOKENS: Final = 256

# The maximum is far above any context length; it keeps cost hints finite.
MaxTokens = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]
Choices = Annotated[int, msgspec.Meta(ge=1, le=128)]


class ModelBody(msgspec.Struct, frozen=True):
    """Fields common to both published request formats.

    Unknown fields are ignored.
    """

    model: str
    stream: bool | None = False
    max_tokens: MaxTokens | None = None
    max_completion_tokens: MaxTokens | None = None
    choices: Choices | None = msgspec.field(default=None, name='n')

    def tokens_to_generate(self) -> int:
        """Return the largest number of tokens in all choices together.

        `DEFAULT_MAX_TOKENS` per choice is assumed if the request has no limit.
        """
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
        """Return the messages as JSON, joined by commas.

        A continued conversation starts with the bytes of the earlier one.
        """
        return b','.join(bytes(message) for message in self.messages)


class CompletionBody(ModelBody, frozen=True, kw_only=True):
    """Body of `POST /v1/completions`."""

    prompt_json: msgspec.Raw = msgspec.field(name='prompt')

    def prompt(self) -> bytes:
        """Return the prompt as JSON: a string, strings or token ids."""
        return bytes(self.prompt_json)
