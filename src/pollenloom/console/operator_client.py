"""Client of the routers' operators' addresses."""

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

# A router answers within 2 s even if others do not; the rest is for a slow
# link.
ANSWER_SECONDS: Final = 10
CONNECT_SECONDS: Final = 2
FIRST_SERVER_ERROR: Final = 500
FIRST_ERROR: Final = 400


@dataclass(frozen=True, slots=True)
class RouterResponse:
    """Status and body of an HTTP answer."""

    status: int
    body: bytes


class OperatorProblem(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of problem details (RFC 9457) that are shown."""

    title: str = ''
    detail: str = ''
    kind: str = ''


class OperatorClient:
    """Asks one router after the other until one answers."""

    def __init__(self, addresses: tuple[str, ...], token: str) -> None:
        self.addresses = addresses
        self.headers = {'Authorization': f'Bearer {token}'}
        self.timeout = aiohttp.ClientTimeout(
            total=ANSWER_SECONDS,
            sock_connect=CONNECT_SECONDS,
        )

    async def status(self) -> Result[FleetStatus, Failure]:
        """Return the status of the fleet."""
        return await self.ask('GET', '/status', FleetStatus)

    async def events(self, subject: str) -> Result[EventReport, Failure]:
        """Return the event records of one subject."""
        query = {'subject': subject}
        return await self.ask('GET', '/events', EventReport, query)

    async def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> Result[DataCentreChangeProgress, Failure]:
        """Take a data centre out of service or bring it back."""
        action = 'drain' if state is DataCentreState.OUT else 'restore'
        path = f'/data-centres/{quote(data_centre, safe="")}/{action}'
        return await self.ask('POST', path, DataCentreChangeProgress)

    async def ask(
        self,
        method: str,
        path: str,
        reply_type: type[ReplyT],
        query: dict[str, str] | None = None,
    ) -> Result[ReplyT, Failure]:
        """Ask the addresses in turn; all requests may be repeated.

        Errors:
            PEER_UNAVAILABLE: No address answered.
            Others as the router that answered told them.
        """
        troubles = []
        async with aiohttp.ClientSession(
            headers=self.headers,
            timeout=self.timeout,
        ) as session:
            for address in self.addresses:
                url = f'http://{address}{path}'
                answer = await ask_one(session, method, url, query)
                if answer.is_ok():
                    return read_answer(answer.ok, reply_type)
                troubles.append(f'{address}: {answer.error}')
        return Error(Failure(ErrorKind.PEER_UNAVAILABLE, '; '.join(troubles)))


async def ask_one(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    query: dict[str, str] | None,
) -> Result[RouterResponse, str]:
    """Return the answer of one router, or why the next should be asked."""
    try:
        async with session.request(method, url, params=query) as response:
            answer = RouterResponse(response.status, await response.read())
    except (aiohttp.ClientError, TimeoutError) as error:
        return Error(str(error) or type(error).__name__)
    if answer.status >= FIRST_SERVER_ERROR:
        return Error(f'status {answer.status}')
    return Ok(answer)


def read_answer(
    answer: RouterResponse,
    reply_type: type[ReplyT],
) -> Result[ReplyT, Failure]:
    """Return the decoded answer, or the failure that the router told."""
    try:
        if answer.status < FIRST_ERROR:
            return Ok(msgspec.json.decode(answer.body, type=reply_type))
        problem = msgspec.json.decode(answer.body, type=OperatorProblem)
        kind = ErrorKind(problem.kind)
    except (msgspec.DecodeError, ValueError) as error:
        detail = f'status {answer.status} with an unexpected answer: {error}'
        return Error(Failure(ErrorKind.PROTOCOL_ERROR, detail))
    return Error(Failure(kind, problem.detail or problem.title))
