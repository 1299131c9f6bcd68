"""HTTP client of the platform."""

from http import HTTPStatus
from typing import TYPE_CHECKING, Final, Self, TypeVar

import aiohttp
import msgspec
from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset
from pollenloom.log_service.log_page import LogPage
from pollenloom.log_service.platform import Platform
from pollenloom.log_service.vm_entry import VmList
from pollenloom.transport.bounded_body import (
    BodyTooLongError,
    read_bounded,
)
from pollenloom.transport.renewable_session import RenewableSession
from pollenloom.transport.shielded_connector import ShieldedConnector
from pollenloom.validation.untrusted_bytes import decode_json

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pollenloom.settings.router_settings import PlatformSettings

ResponseT = TypeVar('ResponseT')

# Fraction of the timeout of a call that connecting may take. A failed
# connection proves that an append had no effect, so connecting has a separate
# timeout.
CONNECT_SHARE: Final = 0.5
# A page of the log has at most a few MiB.
MAX_RESPONSE_BYTES: Final = 16_777_216


class LogAppendResponse(msgspec.Struct, frozen=True):
    """Response to an append."""

    offset: Offset


class HttpPlatform(Platform):
    """Accesses the log and the VM list over HTTP."""

    def __init__(self, url: str, timeout_seconds: float) -> None:
        self.url = url.rstrip('/')
        self.timeout = aiohttp.ClientTimeout(
            total=timeout_seconds,
            connect=timeout_seconds * CONNECT_SHARE,
        )
        self.opened_session: RenewableSession | None = None

    @classmethod
    def from_config(cls, settings: 'PlatformSettings') -> Self:
        """Build a client from a router's settings."""
        return cls(settings.url, settings.timeout_seconds)

    @property
    def session(self) -> RenewableSession:
        """The open session.

        Raises:
            RuntimeError: If the service is not started.
        """
        if self.opened_session is None:
            raise RuntimeError('the platform client is not started')
        return self.opened_session

    async def start(self) -> None:
        """Prepare the HTTP session, without connecting to the platform."""
        self.opened_session = RenewableSession(self.open_session)

    def open_session(self) -> aiohttp.ClientSession:
        """Open an HTTP session, without connecting to the platform."""
        return aiohttp.ClientSession(
            connector=ShieldedConnector(),
            timeout=self.timeout,
        )

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self.opened_session is not None:
            await self.opened_session.close()
        self.opened_session = None

    async def append(self, payload: bytes) -> Result[Offset, Failure]:
        """Append one record; see `Platform.append`."""
        try:
            status, body = await self.send_append(payload)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return Error(unavailable_failure(f'append: no connection: {error}'))
        except (aiohttp.ClientError, TimeoutError, BodyTooLongError) as error:
            return Error(unknown_failure(f'append: no response: {error!r}'))
        return parse_append_response(status, body)

    async def read(
        self,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, Failure]:
        """Read one page of the log; see `Platform.read`."""
        return await self.get('/log', {'from': start, 'limit': limit}, LogPage)

    async def list_vms(self) -> Result[VmList, Failure]:
        """Return the list of VMs; see `Platform.list_vms`."""
        return await self.get('/vms', {}, VmList)

    async def send_append(self, payload: bytes) -> tuple[int, bytes]:
        """Send an append; return the status and body of the response."""
        async with self.session.request(
            'POST',
            f'{self.url}/log',
            data=payload,
            headers={'Content-Type': 'application/octet-stream'},
            allow_redirects=False,
        ) as response:
            body = await read_bounded(response, MAX_RESPONSE_BYTES)
            return response.status, body

    async def get(
        self,
        path: str,
        query: 'Mapping[str, int]',
        response_type: type[ResponseT],
    ) -> Result[ResponseT, Failure]:
        """Send a GET request and decode the response.

        Errors:
            PLATFORM_UNAVAILABLE
        """
        try:
            async with self.session.request(
                'GET',
                self.url + path,
                params=query,
                allow_redirects=False,
            ) as response:
                status = response.status
                body = await read_bounded(response, MAX_RESPONSE_BYTES)
        except (aiohttp.ClientError, TimeoutError, BodyTooLongError) as error:
            return Error(unavailable_failure(f'GET {path}: {error!r}'))
        if status != HTTPStatus.OK:
            return Error(unavailable_failure(f'GET {path}: status {status}'))
        return decode_json(body, response_type).map_error(
            lambda failure: unavailable_failure(
                f'GET {path}: invalid response: {failure.detail}'
            )
        )


def parse_append_response(status: int, body: bytes) -> Result[Offset, Failure]:
    """Return the offset from the response to an append.

    Errors:
        PLATFORM_UNAVAILABLE: The status proves that it had no effect.
        PLATFORM_UNKNOWN: It may have taken effect.
    """
    if status == HTTPStatus.SERVICE_UNAVAILABLE or is_rejection(status):
        return Error(unavailable_failure(f'append rejected: status {status}'))
    if status != HTTPStatus.OK:
        return Error(unknown_failure(f'append: status {status}'))
    decoded = decode_json(body, LogAppendResponse)
    if decoded.is_error():
        detail = decoded.error.detail
        return Error(unknown_failure(f'append: invalid response: {detail}'))
    return Ok(decoded.ok.offset)


def is_rejection(status: int) -> bool:
    """Whether a status proves that the platform rejected the request.

    408 does not: a proxy may send it after it has forwarded the request.
    """
    return (
        HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
        and status != HTTPStatus.REQUEST_TIMEOUT
    )


def unavailable_failure(detail: str) -> Failure:
    """Return the failure of a call that had no effect."""
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)


def unknown_failure(detail: str) -> Failure:
    """Return the failure of an append that may have taken effect."""
    return Failure(ErrorKind.PLATFORM_UNKNOWN, detail)
