"""Tests of polls of backend servers against odd responses."""

from collections.abc import AsyncGenerator, Mapping
from contextlib import asynccontextmanager
from types import MappingProxyType

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from pollenloom.admission.engine_reports.engine_load_report import MAX_COUNT
from pollenloom.admission.engine_reports.http_engine_reports import (
    MAX_PAGE_BYTES,
    HttpEngineReports,
)
from tests.fakes.odd_records import ODD_VALUES, encode_record, odd_records

REPORT: Mapping[str, object] = MappingProxyType(
    {'running': 3, 'waiting': 1, 'highest_fencing_number': 7, 'as_of': 1.5}
)
PAGE: Mapping[str, object] = MappingProxyType({'events': [], 'next': 5})


class OddEngine:
    """Server that answers each poll with the same body."""

    def __init__(self) -> None:
        self.body = b''

    async def respond(self, request: web.Request) -> web.Response:
        """Return the body."""
        await request.read()
        return web.Response(body=self.body)


class EndlessEngine:
    """Server that answers without an end.

    Attributes:
        sent_bytes: Bytes sent before the connection was closed.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0

    async def respond(self, request: web.Request) -> web.StreamResponse:
        """Send until the connection is closed."""
        response = web.StreamResponse()
        await response.prepare(request)
        piece = b'[' * 65_536
        while True:
            await response.write(piece)
            self.sent_bytes += len(piece)


@asynccontextmanager
async def polling(
    engine: OddEngine | EndlessEngine,
) -> AsyncGenerator[tuple[HttpEngineReports, str], None]:
    """Polls of a server, with its address."""
    application = web.Application()
    application.router.add_get('/{path}', engine.respond)
    async with TestServer(application, host='127.0.0.1') as server:
        reports = HttpEngineReports()
        await reports.start()
        try:
            yield reports, f'{server.host}:{server.port}'
        finally:
            await reports.stop()


async def test_odd_reports_are_errors_or_in_range() -> None:
    """Guards against a report that ends the task that polls a server."""
    engine = OddEngine()
    async with polling(engine) as (reports, address):
        for body in odd_records(REPORT).values():
            engine.body = body
            report = await reports.load(address)
            in_progress = report.ok.in_progress if report.is_ok() else 0
            assert 0 <= in_progress <= 2 * MAX_COUNT
        for body in odd_records(PAGE).values():
            engine.body = body
            page = await reports.cache_events(address, 0)
            assert page.is_ok() or page.error.detail


@pytest.mark.parametrize('oddity', ['deep list', 'deep map'])
async def test_deep_report_is_an_error(oddity: str) -> None:
    """Guards against the RecursionError of a value that is skipped."""
    engine = OddEngine()
    engine.body = encode_record(REPORT, unknown=ODD_VALUES[oddity])
    async with polling(engine) as (reports, address):
        assert (await reports.load(address)).is_error()


async def test_endless_report_is_closed() -> None:
    """Guards against bytes without an end that fill the memory."""
    engine = EndlessEngine()
    async with polling(engine) as (reports, address):
        assert (await reports.load(address)).is_error()
    # Socket buffers hold some megabytes besides what was read.
    assert engine.sent_bytes < MAX_PAGE_BYTES + 16_000_000
