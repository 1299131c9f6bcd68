"""Reads responses with a success status and evaluates them."""

from abc import ABC, abstractmethod
from typing import Any, Final

import aiohttp

from pollenloom_standins.history.call_record import (
    CallKind,
    CallOutcome,
    CallRecord,
)
from pollenloom_standins.history.expected_response import (
    StreamValidator,
    evaluate_application_response,
    evaluate_model_response,
    expected_text,
)

MAX_RECORDED_CHARACTERS: Final = 2000


class ResponseReader(ABC):
    """Reads one response to its end."""

    @abstractmethod
    async def read(
        self,
        response: aiohttp.ClientResponse,
        record: CallRecord,
    ) -> None:
        """Read a response and record its outcome."""


class ModelResponseReader(ResponseReader):
    """Reads a model's response, a stream or JSON."""

    def __init__(self, body: dict[str, Any]) -> None:
        self.validator = StreamValidator(expected_text(body))

    async def read(
        self,
        response: aiohttp.ClientResponse,
        record: CallRecord,
    ) -> None:
        """Read a response and record its outcome."""
        if record.kind is CallKind.STREAM:
            await self.read_stream(response, record)
            return
        content = await response.read()
        record.outcome = evaluate_model_response(
            content, self.validator.expected
        )
        record_body(record, content)

    async def read_stream(
        self,
        response: aiohttp.ClientResponse,
        record: CallRecord,
    ) -> None:
        """Read a stream until its end or until the connection breaks."""
        validator = self.validator
        ended_cleanly = True
        try:
            async for chunk in response.content.iter_any():
                validator.add(chunk)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            ended_cleanly = False
            record.detail = f'{type(error).__name__}: {error}'
        record.outcome = validator.evaluate(ended_cleanly=ended_cleanly)
        if validator.error is not None:
            record.error_kind = validator.error.get('kind', '')
            record.run = validator.error.get('run', '')
            record.detail = validator.error.get('message', '')
        if record.outcome is not CallOutcome.COMPLETE:
            record.answer = validator.text[-MAX_RECORDED_CHARACTERS:]


class EchoResponseReader(ResponseReader):
    """Reads an application's response."""

    def __init__(self, path: str, body: str) -> None:
        self.path = path
        self.body = body

    async def read(
        self,
        response: aiohttp.ClientResponse,
        record: CallRecord,
    ) -> None:
        """Read a response and record its outcome."""
        content = await response.read()
        request_id = '' if record.key else record.request_id
        record.outcome = evaluate_application_response(
            content, request_id, self.path, self.body
        )
        record_body(record, content)


def record_body(record: CallRecord, content: bytes) -> None:
    """Record a body that is compared later or is not as expected."""
    if record.key or record.outcome is not CallOutcome.COMPLETE:
        record.answer = content[:MAX_RECORDED_CHARACTERS].decode(
            errors='replace'
        )
