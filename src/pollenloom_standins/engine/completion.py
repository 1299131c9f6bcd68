"""Content, events and usage of a response."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING, Final

import msgspec

from pollenloom_standins.engine.completion_response import (
    CompletionResponse,
    CompletionUsage,
)
from pollenloom_standins.engine.token_generator import TokenGenerator

if TYPE_CHECKING:
    from pollenloom_standins.engine.completion_request import (
        CompletionRequest,
    )
    from pollenloom_standins.engine.response_format import (
        ResponseChoice,
        ResponseFormat,
    )

LAST_EVENT: Final = b'data: [DONE]\n\n'


@dataclass(frozen=True)
class Completion:
    """The response to a request, without its timing.

    Attributes:
        request: The request.
        request_id: Value of `X-Request-Id`.
        response_format: Chat or text.
        created: Wall time, seconds since the Unix epoch.
        version: Version of the engine's service.
    """

    request: 'CompletionRequest'
    request_id: str
    response_format: 'ResponseFormat'
    created: int
    version: str

    @cached_property
    def tokens(self) -> TokenGenerator:
        """Generator of the response's tokens."""
        return TokenGenerator(self.request.prompt_text)

    @cached_property
    def length(self) -> int:
        """Number of tokens of the complete response."""
        return self.tokens.length(self.request.token_limit)

    @property
    def finish_reason(self) -> str:
        """`stop`, or `length` if the token limit shortens the text."""
        return 'stop' if self.length == self.tokens.natural_length else 'length'

    def body(self) -> bytes:
        """Return the body of a response that is not a stream."""
        text = self.tokens.text(self.request.token_limit)
        choice = self.response_format.complete_choice(text, self.finish_reason)
        return msgspec.json.encode(
            self.make_response(
                self.response_format.response_object, (choice,), self.usage()
            ),
        )

    def token_event(self, index: int) -> bytes:
        """Return the event of the token at an index."""
        return self.encode_event(
            self.response_format.event_choice(index, self.tokens.token(index)),
        )

    def closing_events(self) -> Iterator[bytes]:
        """Yield the events after the last token."""
        yield self.encode_event(
            self.response_format.final_choice(self.finish_reason)
        )
        if self.request.includes_usage:
            response = self.make_response(
                self.response_format.event_object, (), self.usage()
            )
            yield b'data: %b\n\n' % msgspec.json.encode(response)
        yield LAST_EVENT

    def encode_event(self, choice: 'ResponseChoice') -> bytes:
        """Return an event of the stream in the server-sent events format."""
        response = self.make_response(
            self.response_format.event_object, (choice,), None
        )
        return b'data: %b\n\n' % msgspec.json.encode(response)

    def usage(self) -> CompletionUsage:
        """Return the numbers of tokens of prompt and response."""
        prompt = self.tokens.prompt_tokens
        return CompletionUsage(prompt, self.length, prompt + self.length)

    def make_response(
        self,
        object_name: str,
        choices: tuple['ResponseChoice', ...],
        usage: CompletionUsage | None,
    ) -> CompletionResponse:
        """Return a response or an event with the fields that both have."""
        return CompletionResponse(
            id=self.response_format.id_prefix + self.request_id,
            object=object_name,
            created=self.created,
            model=self.request.model,
            system_fingerprint=self.version,
            choices=choices,
            usage=usage,
        )
