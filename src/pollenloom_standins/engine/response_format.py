"""Forms of answers: chat and text."""

from abc import ABC, abstractmethod

from pollenloom_standins.engine.completion_response import (
    ChatChoice,
    ChatEventChoice,
    ResponseMessage,
    TextChoice,
)

AnswerChoice = ChatChoice | ChatEventChoice | TextChoice


class ResponseFormat(ABC):
    """How answers to one path look."""

    id_prefix: str
    whole_object: str
    event_object: str

    @abstractmethod
    def whole(self, text: str, finish_reason: str) -> AnswerChoice:
        """Return the choice of a whole answer."""

    @abstractmethod
    def event(self, index: int, token: str) -> AnswerChoice:
        """Return the choice of a stream's event with one token."""

    @abstractmethod
    def finish(self, finish_reason: str) -> AnswerChoice:
        """Return the choice of the event after the last token."""


class ChatFormat(ResponseFormat):
    """Answers to `/v1/chat/completions`."""

    id_prefix = 'chatcmpl-'
    whole_object = 'chat.completion'
    event_object = 'chat.completion.chunk'

    def whole(self, text: str, finish_reason: str) -> AnswerChoice:
        """Return the choice of a whole answer."""
        return ChatChoice(
            message=ResponseMessage(role='assistant', content=text),
            finish_reason=finish_reason,
        )

    def event(self, index: int, token: str) -> AnswerChoice:
        """Return the choice of an event; the first one has the role."""
        role = 'assistant' if index == 0 else None
        return ChatEventChoice(delta=ResponseMessage(role=role, content=token))

    def finish(self, finish_reason: str) -> AnswerChoice:
        """Return the choice of the event after the last token."""
        return ChatEventChoice(
            delta=ResponseMessage(),
            finish_reason=finish_reason,
        )


class TextFormat(ResponseFormat):
    """Answers to `/v1/completions`."""

    id_prefix = 'cmpl-'
    whole_object = 'text_completion'
    event_object = 'text_completion'

    def whole(self, text: str, finish_reason: str) -> AnswerChoice:
        """Return the choice of a whole answer."""
        return TextChoice(text=text, finish_reason=finish_reason)

    def event(self, index: int, token: str) -> AnswerChoice:
        """Return the choice of an event."""
        return TextChoice(text=token)

    def finish(self, finish_reason: str) -> AnswerChoice:
        """Return the choice of the event after the last token."""
        return TextChoice(text='', finish_reason=finish_reason)
