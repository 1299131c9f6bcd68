"""Reads answers that began well and judges them."""

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
    expected_text,
    judge_echo,
    judge_whole,
)

KEPT_CHARACTERS: Final = 2000


class ResponseReader(ABC):
    """Reads one answer to its end."""

    @abstractmethod
    async def read(
        self,
        answer: aiohttp.ClientResponse,
        record: CallRecord,
    ) -> None:
        """Read an answer and record its outcome."""


class ModelResponseReader(ResponseReader):
    """Reads a model's answer, a stream or JSON."""

    def __init__(self, body: dict[str, Any]) -> None:
        self.validator = StreamValidator(expected_text(body))

    async def read(
        self,
        answer: aiohttp.ClientResponse,
        record: CallRecord,
    ) -> None:
        """Read an answer and record its outcome."""
        if record.kind is CallKind.STREAM:
            await self.read_stream(answer, record)
            return
        content = await answer.read()
        record.outcome = judge_whole(content, self.validator.expected)
        keep_answer(record, content)

    async def read_stream(
        self,
        answer: aiohttp.ClientResponse,
        record: CallRecord,
    ) -> None:
        """Read a stream; a broken connection does not end it well."""
        validator = self.validator
        ended_well = True
        try:
            async for chunk in answer.content.iter_any():
                validator.add(chunk)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            ended_well = False
            record.detail = f'{type(error).__name__}: {error}'
        record.outcome = validator.judge(ended_well=ended_well)
        if validator.error is not None:
            record.error_kind = validator.error.get('kind', '')
            record.run = validator.error.get('run', '')
            record.detail = validator.error.get('message', '')
        if record.outcome is not CallOutcome.WHOLE:
            record.answer = validator.text[-KEPT_CHARACTERS:]


class EchoResponseReader(ResponseReader):
    """Reads an application's answer."""

    def __init__(self, path: str, body: str) -> None:
        self.path = path
        self.body = body

    async def read(
        self,
        answer: aiohttp.ClientResponse,
        record: CallRecord,
    ) -> None:
        """Read an answer and record its outcome."""
        content = await answer.read()
        request_id = '' if record.key else record.request_id
        record.outcome = judge_echo(content, request_id, self.path, self.body)
        keep_answer(record, content)


def keep_answer(record: CallRecord, content: bytes) -> None:
    """Keep answers that are compared later or that are not whole."""
    if record.key or record.outcome is not CallOutcome.WHOLE:
        record.answer = content[:KEPT_CHARACTERS].decode(errors='replace')
