"""Requests in the OpenAI format."""

import msgspec


class ContentPart(msgspec.Struct, frozen=True):
    """Part of a message's content; parts that are not text are ignored."""

    type: str
    text: str = ''


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | tuple[ContentPart, ...] | None = None

    @property
    def text(self) -> str:
        """The content as text, empty if there is none."""
        if isinstance(self.content, str):
            return self.content
        return ''.join(part.text for part in self.content or ())


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a stream."""

    include_usage: bool = False


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request for a chat or text completion.

    Fields that the stand-in does not use are ignored.
    """

    model: str
    messages: tuple[ChatMessage, ...] = ()
    prompt: str | tuple[str, ...] = ''
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None

    @property
    def prompt_text(self) -> str:
        """The prompt as one text.

        A chat has one line `role: content` for each message. Of several text
        prompts only the first is used.
        """
        if self.messages:
            return '\n'.join(
                f'{message.role}: {message.text}' for message in self.messages
            )
        return self.prompt if isinstance(self.prompt, str) else self.prompt[0]

    @property
    def token_limit(self) -> int | None:
        """Maximum number of tokens of the response, None without a limit."""
        if self.max_completion_tokens is None:
            return self.max_tokens
        return self.max_completion_tokens

    @property
    def includes_usage(self) -> bool:
        """Whether a stream ends with an event that contains the usage."""
        return self.stream_options is not None and (
            self.stream_options.include_usage
        )
