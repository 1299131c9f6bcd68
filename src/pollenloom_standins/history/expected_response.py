"""Compares responses with the expected ones."""

from typing import Any, Final

import msgspec

from pollenloom_standins.application.application_response import (
    ApplicationResponse,
)
from pollenloom_standins.engine.completion_request import CompletionRequest
from pollenloom_standins.engine.token_generator import TokenGenerator
from pollenloom_standins.history.call_record import CallOutcome

EVENT_PREFIX: Final = 'data: '
LAST_EVENT: Final = '[DONE]'


def expected_text(body: dict[str, Any]) -> str:
    """Return the text that a model must generate for a request."""
    request = msgspec.convert(body, CompletionRequest)
    return TokenGenerator(request.prompt_text).text(request.token_limit)


def evaluate_model_response(response: bytes, expected: str) -> CallOutcome:
    """Evaluate a model's JSON response that arrived without an error."""
    try:
        content = msgspec.json.decode(response)['choices'][0]['message'][
            'content'
        ]
    except (msgspec.DecodeError, LookupError, TypeError):
        return CallOutcome.TRUNCATED
    return (
        CallOutcome.COMPLETE if content == expected else CallOutcome.UNEXPECTED
    )


def evaluate_application_response(
    response: bytes,
    request_id: str,
    path: str,
    body: str,
) -> CallOutcome:
    """Evaluate an application's response that arrived without an error.

    A repeated order gets the response of the first call, with that call's
    request id; pass an empty `request_id` then.
    """
    try:
        echo = msgspec.json.decode(response, type=ApplicationResponse)
    except msgspec.DecodeError:
        return CallOutcome.TRUNCATED
    is_expected = echo.path == path and echo.body == body
    is_expected &= request_id in {'', echo.request_id}
    return CallOutcome.COMPLETE if is_expected else CallOutcome.UNEXPECTED


class StreamValidator:
    """Evaluates the events of a model's stream.

    Attributes:
        error: Error object of the event that ends a cut stream, if any.
        text: Text of the events so far.
        is_done: Whether the last event has arrived.
        incomplete_line: Start of a line whose end has not arrived yet.
        has_event_after_end: Whether events followed the last event or an
            error event.
    """

    def __init__(self, expected: str) -> None:
        self.expected = expected
        self.error: dict[str, Any] | None = None
        self.text = ''
        self.is_done = False
        self.incomplete_line = ''
        self.has_event_after_end = False

    def add(self, chunk: bytes) -> None:
        """Parse a chunk of the stream."""
        text, _, incomplete_line = (
            self.incomplete_line + chunk.decode()
        ).rpartition('\n')
        self.incomplete_line = incomplete_line
        for line in text.split('\n'):
            if line.startswith(EVENT_PREFIX):
                self.add_event(line.removeprefix(EVENT_PREFIX))

    def add_event(self, event: str) -> None:
        """Process the data of one event."""
        if self.is_done or self.error is not None:
            self.has_event_after_end = True
            return
        if event == LAST_EVENT:
            self.is_done = True
            return
        parsed: dict[str, Any] = msgspec.json.decode(event)
        self.error = parsed.get('error')
        for choice in parsed.get('choices', ()):
            self.text += choice.get('delta', {}).get('content') or ''

    def evaluate(self, *, ended_cleanly: bool) -> CallOutcome:
        """Return the outcome of the stream after its last byte.

        `ended_cleanly` is false if the connection broke.
        """
        is_prefix = self.expected.startswith(self.text)
        if self.has_event_after_end or not is_prefix:
            return CallOutcome.UNEXPECTED
        if self.is_done:
            is_complete = self.text == self.expected
            return (
                CallOutcome.COMPLETE if is_complete else CallOutcome.TRUNCATED
            )
        if self.error is not None or not ended_cleanly:
            return CallOutcome.CUT
        return CallOutcome.TRUNCATED
