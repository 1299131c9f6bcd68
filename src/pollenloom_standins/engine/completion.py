"""One answer: content, events and usage."""

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
        AnswerChoice,
        ResponseFormat,
    )

LAST_EVENT: Final = b'data: [DONE]\n\n'


@dataclass(frozen=True)
class Completion:
    """The answer to a request, apart from the time that it takes.

    Attributes:
        request: The request.
        request_id: Id that the caller gave.
        form: Chat or text.
        created: Wall time, whole seconds since the Unix epoch.
        version: Version of the engine's service.
    """

    request: 'CompletionRequest'
    request_id: str
    form: 'ResponseFormat'
    created: int
    version: str

    @cached_property
    def tokens(self) -> TokenGenerator:
        """Tokens of the answer."""
        return TokenGenerator(self.request.prompt_text)

    @cached_property
    def length(self) -> int:
        """Tokens of the whole answer."""
        return self.tokens.length(self.request.token_limit)

    @property
    def finish_reason(self) -> str:
        """Whether the answer ended by itself or by the limit."""
        return 'stop' if self.length == self.tokens.natural_length else 'length'

    def body(self) -> bytes:
        """Return the body of an answer that is not a stream."""
        text = self.tokens.text(self.request.token_limit)
        choice = self.form.whole(text, self.finish_reason)
        return msgspec.json.encode(
            self.envelope(self.form.whole_object, (choice,), self.usage()),
        )

    def token_event(self, index: int) -> bytes:
        """Return the event with the token at an index."""
        return self.encode_event(
            self.form.event(index, self.tokens.token(index)),
        )

    def closing_events(self) -> Iterator[bytes]:
        """Return the events after the last token."""
        yield self.encode_event(self.form.finish(self.finish_reason))
        if self.request.includes_usage:
            answer = self.envelope(self.form.event_object, (), self.usage())
            yield b'data: %b\n\n' % msgspec.json.encode(answer)
        yield LAST_EVENT

    def encode_event(self, choice: 'AnswerChoice') -> bytes:
        """Return an event of the stream."""
        answer = self.envelope(self.form.event_object, (choice,), None)
        return b'data: %b\n\n' % msgspec.json.encode(answer)

    def usage(self) -> CompletionUsage:
        """Return the tokens of prompt and answer."""
        prompt = self.tokens.prompt_tokens
        return CompletionUsage(prompt, self.length, prompt + self.length)

    def envelope(
        self,
        object_name: str,
        choices: tuple['AnswerChoice', ...],
        usage: CompletionUsage | None,
    ) -> CompletionResponse:
        """Return an answer or event with the fields that all have."""
        return CompletionResponse(
            id=self.form.id_prefix + self.request_id,
            object=object_name,
            created=self.created,
            model=self.request.model,
            system_fingerprint=self.version,
            choices=choices,
            usage=usage,
        )
