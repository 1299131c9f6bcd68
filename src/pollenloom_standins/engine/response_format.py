"""Formats of responses: chat and text."""

from abc import ABC, abstractmethod

from pollenloom_standins.engine.completion_response import (
    ChatChoice,
    ChatEventChoice,
    ResponseMessage,
    TextChoice,
)

ResponseChoice = ChatChoice | ChatEventChoice | TextChoice


class ResponseFormat(ABC):
    """Format of the responses to one path.

    Attributes:
        id_prefix: Prefix of the field `id`.
        response_object: Field `object` of a response that is not a stream.
        event_object: Field `object` of a stream event.
    """

    id_prefix: str
    response_object: str
    event_object: str

    @abstractmethod
    def complete_choice(self, text: str, finish_reason: str) -> ResponseChoice:
        """Return the choice of a complete response."""

    @abstractmethod
    def event_choice(self, index: int, token: str) -> ResponseChoice:
        """Return the choice of the stream event of one token."""

    @abstractmethod
    def final_choice(self, finish_reason: str) -> ResponseChoice:
        """Return the choice of the event after the last token."""


class ChatFormat(ResponseFormat):
    """Responses to `/v1/chat/completions`."""

    id_prefix = 'chatcmpl-'
    response_object = 'chat.completion'
    event_object = 'chat.completion.chunk'

    def complete_choice(self, text: str, finish_reason: str) -> ResponseChoice:
        """Return the choice of a complete response."""
        return ChatChoice(
            message=ResponseMessage(role='assistant', content=text),
            finish_reason=finish_reason,
        )

    def event_choice(self, index: int, token: str) -> ResponseChoice:
        """Return the choice of an event; only the first has the role."""
        role = 'assistant' if index == 0 else None
        return ChatEventChoice(delta=ResponseMessage(role=role, content=token))

    def final_choice(self, finish_reason: str) -> ResponseChoice:
        """Return the choice of the event after the last token."""
        return ChatEventChoice(
            delta=ResponseMessage(),
            finish_reason=finish_reason,
        )


class TextFormat(ResponseFormat):
    """Responses to `/v1/completions`."""

    id_prefix = 'cmpl-'
    response_object = 'text_completion'
    event_object = 'text_completion'

    def complete_choice(self, text: str, finish_reason: str) -> ResponseChoice:
        """Return the choice of a complete response."""
        return TextChoice(text=text, finish_reason=finish_reason)

    def event_choice(self, index: int, token: str) -> ResponseChoice:
        """Return the choice of an event."""
        return TextChoice(text=token)

    def final_choice(self, finish_reason: str) -> ResponseChoice:
        """Return the choice of the event after the last token."""
        return TextChoice(text='', finish_reason=finish_reason)
