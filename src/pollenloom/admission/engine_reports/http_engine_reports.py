"""Load reports and cache events of backend servers over HTTP."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, TypeVar

import aiohttp
from expression import Error, Result

from pollenloom.admission.engine_reports.cache_event import CacheEventPage
from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)
from pollenloom.admission.engine_reports.engine_reports import EngineReports
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.kernel.kernel import Kernel
from pollenloom.settings.router_settings import RouterSettings
from pollenloom.transport.bounded_body import read_bounded
from pollenloom.transport.renewable_session import RenewableSession
from pollenloom.transport.shielded_connector import ShieldedConnector
from pollenloom.validation.untrusted_bytes import decode_json

REQUEST_TIMEOUT_SECONDS: Final = 1.0
# Room for 10,000 events with 16 hashes each, which a new pool owner reads once.
MAX_PAGE_BYTES: Final = 4_194_304

ResponseT = TypeVar('ResponseT')


class HttpEngineReports(EngineReports):
    """Polls `GET /load` and `GET /cache-events`."""

    @classmethod
    def from_config(
        cls,
        _kernel: Kernel,
        _settings: RouterSettings,
    ) -> 'HttpEngineReports':
        """Create the service; it has no settings."""
        return cls()

    async def start(self) -> None:
        """Prepare the HTTP session that all polls share."""
        self.session = RenewableSession(open_session)

    async def stop(self) -> None:
        """Close the HTTP session and its connections."""
        await self.session.close()

    async def load(self, address: str) -> Result[EngineLoadReport, Failure]:
        """Return the load report of the server at an address.

        Errors:
            BACKEND_FAILED
        """
        return await self.get(f'http://{address}/load', {}, EngineLoadReport)

    async def cache_events(
        self,
        address: str,
        start: int,
    ) -> Result[CacheEventPage, Failure]:
        """Return the cache events numbered `start` and above.

        Errors:
            BACKEND_FAILED
        """
        url = f'http://{address}/cache-events'
        return await self.get(url, {'from': start}, CacheEventPage)

    async def get(
        self,
        url: str,
        query: Mapping[str, int],
        response_type: type[ResponseT],
    ) -> Result[ResponseT, Failure]:
        """Request a URL and decode the JSON response."""
        try:
            async with self.session.request(
                'GET',
                url,
                params=query,
                allow_redirects=False,
            ) as response:
                status = response.status
                body = await read_bounded(response, MAX_PAGE_BYTES)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Error(poll_failed(f'GET {url}: {error!r}'))
        if status != HTTPStatus.OK:
            return Error(poll_failed(f'GET {url}: status {status}'))
        return decode_json(body, response_type).map_error(
            lambda failure: poll_failed(
                f'GET {url}: invalid response: {failure.detail}'
            )
        )


def open_session() -> aiohttp.ClientSession:
    """Open an HTTP session for polls."""
    return aiohttp.ClientSession(
        connector=ShieldedConnector(),
        timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def poll_failed(detail: str) -> Failure:
    """Return the failure of a poll of a backend server."""
    return Failure(ErrorKind.BACKEND_FAILED, detail)
