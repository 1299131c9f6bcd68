"""Client of backend servers over HTTP."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from http import HTTPStatus
from types import SimpleNamespace
from typing import Any, Final

import aiohttp
from expression import Error, Ok, Result
from yarl import URL

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.states import RunStatus
from pollenloom.dispatch.attempt_failure import AttemptFailure
from pollenloom.dispatch.backend_call import BackendCall
from pollenloom.dispatch.backend_client import BackendClient
from pollenloom.dispatch.backend_response import BackendResponse
from pollenloom.dispatch.event_relay import EventRelay
from pollenloom.dispatch.grant_use import GrantUse
from pollenloom.dispatch.refusal import read_refusal
from pollenloom.dispatch.request_headers import (
    REQUEST_ID,
    build_headers,
    forwarded_headers,
)
from pollenloom.dispatch.silence_watch import SilenceWatch
from pollenloom.dispatch.traced_response import TracedResponse
from pollenloom.kernel.clock import Clock
from pollenloom.settings.router_settings import DispatchSettings
from pollenloom.transport.shielded_connector import ShieldedConnector

EVENT_STREAM: Final = 'text/event-stream'
MAX_ANSWER_BYTES: Final = 16_777_216
CANCEL_SECONDS: Final = 1

# The end of the stream usually comes with the last event or directly after;
# a connection that is not at its end by then is closed.
END_OF_STREAM_SECONDS: Final = 0.05

# Headers that the client library would add to what the caller sent.
SET_BY_CALLERS: Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)

BODILESS_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value)
)


class HttpBackendClient(BackendClient):
    """Sends requests to model engines and applications with aiohttp."""

    def __init__(self, clock: Clock, settings: DispatchSettings) -> None:
        self.clock = clock
        self.settings = settings
        self.sessions: dict[bool, aiohttp.ClientSession] = {}

    async def fetch(
        self,
        call: BackendCall,
        use: GrantUse,
    ) -> Result[BackendResponse, AttemptFailure]:
        """Send a request and read the whole answer."""
        try:
            async with (
                asyncio.timeout(call.timeout_seconds),
                self.exchange(call, use) as response,
            ):
                return await read_answer(call, use, response)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Error(lost_attempt(use, error))

    async def relay(
        self,
        call: BackendCall,
        use: GrantUse,
        relay: EventRelay,
    ) -> Result[BackendResponse, AttemptFailure]:
        """Send a request and relay the events of its answer."""
        try:
            async with (
                asyncio.timeout(call.timeout_seconds),
                self.exchange(call, use) as response,
            ):
                if response.content_type != EVENT_STREAM:
                    return await read_answer(call, use, response)
                return await relay_events(
                    call,
                    use,
                    response,
                    relay,
                    self.settings.idle_seconds,
                )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Error(lost_attempt(use, error))

    async def cancel(self, call: BackendCall) -> None:
        """Tell the server to give up a request; failures are ignored."""
        request_id = call.request.request_id
        address = call.server.address
        session = self.sessions.get(True)
        if session is None:
            # Closed meanwhile; the lost connections tell the servers, too.
            return
        try:
            async with session.post(
                URL(f'http://{address}/cancel/{request_id}', encoded=True),
                headers={'X-Request-Id': request_id},
                timeout=aiohttp.ClientTimeout(total=CANCEL_SECONDS),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            return

    async def close(self) -> None:
        """Close all connections."""
        while self.sessions:
            _, session = self.sessions.popitem()
            await session.close()

    @asynccontextmanager
    async def exchange(
        self,
        call: BackendCall,
        use: GrantUse,
    ) -> AsyncGenerator[aiohttp.ClientResponse, None]:
        """Send a request; the connection is kept only after a whole answer."""
        request = call.request
        session = self.session(reuse=request.repeatable)
        response = await session.request(
            request.method,
            URL(f'http://{call.server.address}{request.path}', encoded=True),
            data=request.body or None,
            headers=build_headers(call),
            allow_redirects=False,
            trace_request_ctx=use,
            timeout=aiohttp.ClientTimeout(
                connect=self.settings.connect_seconds,
                sock_connect=self.settings.connect_seconds,
                sock_read=self.settings.idle_seconds
                if request.streaming
                else None,
            ),
        )
        try:
            use.first_byte_at = self.clock.monotonic()
            yield response
        finally:
            if use.answered:
                response.release()
            elif isinstance(response, TracedResponse):
                response.discard()

    def session(self, *, reuse: bool) -> aiohttp.ClientSession:
        """Return the session that does or does not reuse connections.

        A request that may not be repeated gets a new connection: on a reused
        one it could meet a server that is just closing it, which leaves its
        fate unknown.
        """
        session = self.sessions.get(reuse)
        if session is None:
            session = self.open_session(reuse=reuse)
            self.sessions[reuse] = session
        return session

    def open_session(self, *, reuse: bool) -> aiohttp.ClientSession:
        """Open a session that sends each request once and as it is."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(note_connection)
        trace.on_connection_reuseconn.append(note_connection)
        session = aiohttp.ClientSession(
            connector=ShieldedConnector(force_close=not reuse),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SET_BY_CALLERS,
            trace_configs=[trace],
            response_class=TracedResponse,
        )
        # aiohttp sends GET, PUT and DELETE again if a reused connection
        # breaks; only the retry loop may decide that.
        session._retry_connection = False  # ruff: ignore[private-member-access] no public name
        return session


async def note_connection(  # ruff: ignore[unused-async] aiohttp awaits it
    _session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _parameters: Any,
) -> None:
    """Note that bytes of a request may reach the server from now on."""
    use: GrantUse | None = context.trace_request_ctx
    if use is not None:
        use.connected = True


async def read_answer(
    call: BackendCall,
    use: GrantUse,
    response: aiohttp.ClientResponse,
) -> Result[BackendResponse, AttemptFailure]:
    """Read an answer to its end and check that it is the right one."""
    fault = find_fault(call, response)
    if fault is not None:
        return Error(fault)
    pieces: list[bytes] = []
    size = 0
    async for piece in response.content.iter_any():
        pieces.append(piece)
        size += len(piece)
        if size > MAX_ANSWER_BYTES:
            return Error(broken_protocol('the answer is longer than 16 MiB'))
    use.answered = True
    body = b''.join(pieces)
    refusal = read_refusal(response.status, body)
    if refusal is not None:
        return Error(refusal)
    return Ok(make_answer(call, response, body))


async def relay_events(
    call: BackendCall,
    use: GrantUse,
    response: aiohttp.ClientResponse,
    relay: EventRelay,
    idle_seconds: float,
) -> Result[BackendResponse, AttemptFailure]:
    """Relay the events of a stream up to its last one."""
    fault = find_fault(call, response)
    if fault is not None:
        return Error(fault)
    content = response.content
    with SilenceWatch(response, idle_seconds) as watch:
        while piece := await content.readany():
            watch.waiting_since = None
            await relay.feed(piece)
            if relay.finished:
                break
            watch.waiting_since = watch.loop.time()
    if not relay.finished:
        return Error(cut_answer('the stream ended before its last event'))
    use.answered = await is_at_end(response)
    return Ok(make_answer(call, response, b''))


async def is_at_end(response: aiohttp.ClientResponse) -> bool:
    """Whether nothing follows the last event on the connection."""
    try:
        async with asyncio.timeout(END_OF_STREAM_SECONDS):
            return not await response.content.readany()
    except (aiohttp.ClientError, OSError):
        return False


def make_answer(
    call: BackendCall,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> BackendResponse:
    """Return the answer with the headers that callers may see."""
    return BackendResponse(
        status=response.status,
        headers=forwarded_headers(response.headers),
        body=body,
        server=call.server.server,
        version=call.server.version,
    )


def find_fault(
    call: BackendCall,
    response: aiohttp.ClientResponse,
) -> AttemptFailure | None:
    """Check that an answer belongs to the request and shows its end."""
    if response.headers.get(REQUEST_ID) != call.request.request_id:
        return AttemptFailure(
            kind=ErrorKind.BACKEND_FAILED,
            detail='the answer carries the id of another request',
            run=RunStatus.UNKNOWN,
        )
    bodiless = (
        call.request.method == 'HEAD' or response.status in BODILESS_STATUSES
    )
    if bodiless or response.content_length is not None:
        return None
    if response.headers.get('transfer-encoding', '').lower() == 'chunked':
        return None
    return broken_protocol('the answer does not show where it ends')


def broken_protocol(detail: str) -> AttemptFailure:
    """Return the failure of a server that answered in a wrong form."""
    return AttemptFailure(
        kind=ErrorKind.BACKEND_FAILED,
        detail=detail,
        run=RunStatus.YES,
    )


def cut_answer(detail: str) -> AttemptFailure:
    """Return the failure of an answer without its end."""
    return AttemptFailure(
        kind=ErrorKind.ANSWER_CUT,
        detail=detail,
        run=RunStatus.YES,
    )


def lost_attempt(use: GrantUse, error: Exception) -> AttemptFailure:
    """Return the failure of an attempt that an exception ended."""
    detail = describe(error)
    if not use.connected:
        return AttemptFailure(
            kind=ErrorKind.BACKEND_REFUSED,
            detail=f'no connection to the backend server: {detail}',
            run=RunStatus.NO,
        )
    if use.first_byte_at is None:
        return AttemptFailure(
            kind=ErrorKind.BACKEND_FAILED,
            detail=f'the backend server gave no answer: {detail}',
            run=RunStatus.UNKNOWN,
        )
    return cut_answer(f'the answer was cut: {detail}')


def describe(error: Exception) -> str:
    """Return what an exception means to people."""
    if isinstance(error, aiohttp.SocketTimeoutError):
        return 'the server fell silent'
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return 'it could not be reached in time'
    if isinstance(error, TimeoutError):
        return 'the deadline passed'
    if isinstance(error, aiohttp.ClientPayloadError):
        return 'it ended before its length'
    return str(error) or type(error).__name__
