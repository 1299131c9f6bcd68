"""Client of the platform's HTTP services."""

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
from pollenloom.transport.shielded_connector import ShieldedConnector

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pollenloom.settings.router_settings import PlatformSettings

AnswerT = TypeVar('AnswerT')

# Share of a call's time that connecting may take. A connection that was not
# made proves that an append was not taken, so it gets a limit of its own.
CONNECT_SHARE: Final = 0.5


class LogAppendResponse(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: Offset


class HttpPlatform(Platform):
    """The log and the VM list over HTTP."""

    def __init__(self, url: str, timeout_seconds: float) -> None:
        self.url = url.rstrip('/')
        self.timeout = aiohttp.ClientTimeout(
            total=timeout_seconds,
            connect=timeout_seconds * CONNECT_SHARE,
        )
        self.opened_session: aiohttp.ClientSession | None = None

    @classmethod
    def from_config(cls, settings: 'PlatformSettings') -> Self:
        """Build a client from a router's settings."""
        return cls(settings.url, settings.timeout_seconds)

    @property
    def session(self) -> aiohttp.ClientSession:
        """The open session.

        Raises:
            RuntimeError: If the service is not started.
        """
        if self.opened_session is None:
            raise RuntimeError('the platform client is not started')
        return self.opened_session

    async def start(self) -> None:
        """Open the HTTP session; the platform need not be up."""
        self.opened_session = aiohttp.ClientSession(
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
            return Error(unavailable(f'append: no connection: {error}'))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Error(unknown(f'append: answer lost: {error!r}'))
        return read_append_answer(status, body)

    async def read(
        self,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, Failure]:
        """Read a part of the log; see `Platform.read`."""
        return await self.get('/log', {'from': start, 'limit': limit}, LogPage)

    async def list_vms(self) -> Result[VmList, Failure]:
        """Return the list of VMs; see `Platform.list_vms`."""
        return await self.get('/vms', {}, VmList)

    async def send_append(self, payload: bytes) -> tuple[int, bytes]:
        """Send an append; return the status and the body of the answer."""
        async with self.session.post(
            f'{self.url}/log',
            data=payload,
            headers={'Content-Type': 'application/octet-stream'},
            allow_redirects=False,
        ) as response:
            return response.status, await response.read()

    async def get(
        self,
        path: str,
        query: 'Mapping[str, int]',
        answer_type: type[AnswerT],
    ) -> Result[AnswerT, Failure]:
        """Get and decode a value; nothing changes on the platform."""
        try:
            async with self.session.get(
                self.url + path,
                params=query,
                allow_redirects=False,
            ) as response:
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return Error(unavailable(f'GET {path}: {error!r}'))
        if status != HTTPStatus.OK:
            return Error(unavailable(f'GET {path}: status {status}'))
        try:
            return Ok(msgspec.json.decode(body, type=answer_type))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Error(unavailable(f'GET {path}: bad answer: {error}'))


def read_append_answer(status: int, body: bytes) -> Result[Offset, Failure]:
    """Tell whether an append was taken, from its answer."""
    if status == HTTPStatus.SERVICE_UNAVAILABLE or is_rejection(status):
        return Error(unavailable(f'append: not taken, status {status}'))
    if status != HTTPStatus.OK:
        return Error(unknown(f'append: status {status}'))
    try:
        answer = msgspec.json.decode(body, type=LogAppendResponse)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(unknown(f'append: bad answer: {error}'))
    return Ok(answer.offset)


def is_rejection(status: int) -> bool:
    """Whether a status says that the platform did not take the request.

    408 is no rejection: a proxy may send it after it forwarded the request.
    """
    return (
        HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
        and status != HTTPStatus.REQUEST_TIMEOUT
    )


def unavailable(detail: str) -> Failure:
    """Return the failure of a call that had no effect."""
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)


def unknown(detail: str) -> Failure:
    """Return the failure of an append that may have taken effect."""
    return Failure(ErrorKind.PLATFORM_UNKNOWN, detail)
