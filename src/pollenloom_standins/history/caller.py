"""Makes calls and records their outcomes."""

import time
from http import HTTPStatus
from typing import Any, Final

import aiohttp
import msgspec

from pollenloom.core.ids import AccountId
from pollenloom_standins.history.call_record import CallOutcome, CallRecord
from pollenloom_standins.history.response_reader import (
    MAX_RECORDED_CHARACTERS,
    EchoResponseReader,
    ModelResponseReader,
    ResponseReader,
)

# Longer than the timeout that the router is given, so that the router
# responds first.
CALL_TIMEOUT_SECONDS: Final = 25.0
TIMEOUT_HEADER_SECONDS: Final = '10'
REQUEST_ID_HEADER: Final = 'X-Request-Id'
KEY_PREFIX: Final = 'demo-key-'


class CallerRefusal(msgspec.Struct, frozen=True):
    """Fields of an error response that the history keeps."""

    run: str = ''
    kind: str = ''
    detail: str = ''
    request_id: str = ''


class Caller:
    """Calls routers for one account; each call has its own connection.

    A lost connection therefore always belongs to exactly one call.
    """

    def __init__(self, account: AccountId, calls: list[CallRecord]) -> None:
        self.account = account
        self.calls = calls
        self.headers = {
            'Authorization': f'Bearer {KEY_PREFIX}{account}',
            'X-Timeout-Seconds': TIMEOUT_HEADER_SECONDS,
        }

    async def complete(
        self,
        record: CallRecord,
        base: str,
        body: dict[str, Any],
    ) -> CallRecord:
        """Send a chat completion request to a model."""
        url = f'{base}/v1/chat/completions'
        reader = ModelResponseReader(body)
        return await self.call(record, 'POST', url, reader, json=body)

    async def use_application(
        self,
        record: CallRecord,
        base: str,
        path: str,
        body: str,
    ) -> CallRecord:
        """Call an application: an order if the record has a key, else a read.

        The first segment of the path names the service.
        """
        service_path = path[path.index('/', 1) :]
        return await self.call(
            record,
            'POST' if record.key else 'GET',
            f'{base}{path}',
            EchoResponseReader(service_path, body),
            data=body,
            headers={'Idempotency-Key': record.key} if record.key else {},
        )

    async def call(
        self,
        record: CallRecord,
        method: str,
        url: str,
        reader: ResponseReader,
        **options: Any,
    ) -> CallRecord:
        """Make a call and record its outcome."""
        self.calls.append(record)
        try:
            await self.exchange(record, method, url, reader, **options)
        except aiohttp.ClientConnectorError as error:
            record_loss(record, CallOutcome.UNREACHED, error)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            began = bool(record.status)
            outcome = CallOutcome.CUT if began else CallOutcome.LOST
            record_loss(record, outcome, error)
        record.ended = time.time()
        return record

    async def exchange(
        self,
        record: CallRecord,
        method: str,
        url: str,
        reader: ResponseReader,
        **options: Any,
    ) -> None:
        """Send a request and read its response."""
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True),
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
                headers=self.headers,
            ) as session,
            session.request(method, url, **options) as response,
        ):
            record.status = response.status
            record.request_id = response.headers.get(REQUEST_ID_HEADER, '')
            if response.status < HTTPStatus.BAD_REQUEST:
                await reader.read(response, record)
            else:
                record_refusal(record, await response.read())


def record_refusal(record: CallRecord, content: bytes) -> None:
    """Record an error response."""
    record.outcome = CallOutcome.REFUSED
    try:
        refusal = msgspec.json.decode(content, type=CallerRefusal)
    except msgspec.DecodeError:
        refusal = CallerRefusal(
            detail=content[:MAX_RECORDED_CHARACTERS].decode()
        )
    record.run = refusal.run
    record.error_kind = refusal.kind
    record.detail = refusal.detail
    record.request_id = record.request_id or refusal.request_id


def record_loss(
    record: CallRecord,
    outcome: CallOutcome,
    error: Exception,
) -> None:
    """Record a call without a complete response."""
    record.outcome = outcome
    record.detail = f'{type(error).__name__}: {error}'
