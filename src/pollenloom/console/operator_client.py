"""Client of the operators' servers of routers."""

from dataclasses import dataclass
from typing import Final, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId
from pollenloom.core.states import DataCentreState
from pollenloom.operations.data_centre_change_progress import (
    DataCentreChangeProgress,
)
from pollenloom.operations.event_report import EventReport
from pollenloom.operations.fleet_status import FleetStatus

ReplyT = TypeVar('ReplyT', bound=msgspec.Struct)

# A router responds within 2 s even if other routers do not; the rest allows
# for a slow connection.
RESPONSE_TIMEOUT_SECONDS: Final = 10
CONNECT_TIMEOUT_SECONDS: Final = 2
FIRST_SERVER_ERROR_STATUS: Final = 500
FIRST_ERROR_STATUS: Final = 400


@dataclass(frozen=True, slots=True)
class RouterResponse:
    """Status and body of an HTTP response."""

    status: int
    body: bytes


class OperatorProblem(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of problem details (RFC 9457) that the commands use."""

    title: str = ''
    detail: str = ''
    kind: str = ''


class OperatorClient:
    """Sends each request to the routers in order until one responds."""

    def __init__(self, addresses: tuple[str, ...], token: str) -> None:
        self.addresses = addresses
        self.headers = {'Authorization': f'Bearer {token}'}
        self.timeout = aiohttp.ClientTimeout(
            total=RESPONSE_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )

    async def status(self) -> Result[FleetStatus, Failure]:
        """Return the status of the fleet."""
        return await self.request('GET', '/status', FleetStatus)

    async def events(self, subject: str) -> Result[EventReport, Failure]:
        """Return the event records of the subject with this id."""
        query = {'subject': subject}
        return await self.request('GET', '/events', EventReport, query)

    async def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> Result[DataCentreChangeProgress, Failure]:
        """Take a data centre out of service or bring it back."""
        action = 'drain' if state is DataCentreState.OUT else 'restore'
        path = f'/data-centres/{quote(data_centre, safe="")}/{action}'
        return await self.request('POST', path, DataCentreChangeProgress)

    async def request(
        self,
        method: str,
        path: str,
        reply_type: type[ReplyT],
        query: dict[str, str] | None = None,
    ) -> Result[ReplyT, Failure]:
        """Send a request to the addresses in order until one responds.

        All requests may be repeated.

        Errors:
            PEER_UNAVAILABLE: No router responded.
            PROTOCOL_ERROR: The response could not be decoded.
            Others as reported by the router that responded.
        """
        errors = []
        async with aiohttp.ClientSession(
            headers=self.headers,
            timeout=self.timeout,
        ) as session:
            for address in self.addresses:
                url = f'http://{address}{path}'
                response = await request_one(session, method, url, query)
                if response.is_ok():
                    return decode_response(response.ok, reply_type)
                errors.append(f'{address}: {response.error}')
        return Error(Failure(ErrorKind.PEER_UNAVAILABLE, '; '.join(errors)))


async def request_one(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    query: dict[str, str] | None,
) -> Result[RouterResponse, str]:
    """Return the response of one router, or why to try the next one."""
    try:
        async with session.request(method, url, params=query) as raw:
            response = RouterResponse(raw.status, await raw.read())
    except (aiohttp.ClientError, TimeoutError) as error:
        return Error(str(error) or type(error).__name__)
    if response.status >= FIRST_SERVER_ERROR_STATUS:
        return Error(f'status {response.status}')
    return Ok(response)


def decode_response(
    response: RouterResponse,
    reply_type: type[ReplyT],
) -> Result[ReplyT, Failure]:
    """Return the decoded reply, or the failure that the router reported."""
    try:
        if response.status < FIRST_ERROR_STATUS:
            return Ok(msgspec.json.decode(response.body, type=reply_type))
        problem = msgspec.json.decode(response.body, type=OperatorProblem)
        kind = ErrorKind(problem.kind)
    except (msgspec.DecodeError, ValueError) as error:
        detail = f'status {response.status} with an unexpected body: {error}'
        return Error(Failure(ErrorKind.PROTOCOL_ERROR, detail))
    return Error(Failure(kind, problem.detail or problem.title))
