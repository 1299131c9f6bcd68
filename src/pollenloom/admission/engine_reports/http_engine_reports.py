"""Reports of backend servers over HTTP."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, TypeVar

import aiohttp
import msgspec
from expression import Error, Ok, Result

from pollenloom.admission.engine_reports.cache_event import CacheEventPage
from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)
from pollenloom.admission.engine_reports.engine_reports import EngineReports
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.kernel.kernel import Kernel
from pollenloom.settings.router_settings import RouterSettings
from pollenloom.transport.shielded_connector import ShieldedConnector

CALL_SECONDS: Final = 1.0
# 10,000 events with 16 hashes each, which a new owner reads once.
MAX_PAGE_BYTES: Final = 4_194_304

AnswerT = TypeVar('AnswerT')


class HttpEngineReports(EngineReports):
    """Polls `GET /load` and `GET /cache-events`."""

    @classmethod
    def from_config(
        cls,
        _kernel: Kernel,
        _settings: RouterSettings,
    ) -> 'HttpEngineReports':
        """Make it; there is nothing to set."""
        return cls()

    async def start(self) -> None:
        """Open the session that all polls share."""
        self.session = aiohttp.ClientSession(
            connector=ShieldedConnector(),
            timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def load(self, address: str) -> Result[EngineLoadReport, Failure]:
        """Return the load of a server."""
        return await self.get(f'http://{address}/load', {}, EngineLoadReport)

    async def cache_events(
        self,
        address: str,
        start: int,
    ) -> Result[CacheEventPage, Failure]:
        """Return cache events from a number on."""
        url = f'http://{address}/cache-events'
        return await self.get(url, {'from': start}, CacheEventPage)

    async def get(
        self,
        url: str,
        query: Mapping[str, int],
        answer_type: type[AnswerT],
    ) -> Result[AnswerT, Failure]:
        """Get and decode a report."""
        try:
            async with self.session.get(
                url,
                params=query,
                allow_redirects=False,
            ) as response:
                status = response.status
                body = await read_bounded(response)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Error(unread(f'GET {url}: {error!r}'))
        if status != HTTPStatus.OK:
            return Error(unread(f'GET {url}: status {status}'))
        try:
            return Ok(msgspec.json.decode(body, type=answer_type))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Error(unread(f'GET {url}: bad answer: {error}'))


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Read a body.

    Raises:
        ValueError: If it is too long.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_PAGE_BYTES:
            raise ValueError('the answer is too long')
    return bytes(body)


def unread(detail: str) -> Failure:
    """Return the failure of a poll."""
    return Failure(ErrorKind.BACKEND_FAILED, detail)
