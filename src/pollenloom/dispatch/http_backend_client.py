"""HTTP client for backend servers."""

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
from pollenloom.core.http_statuses import is_final_status
from pollenloom.core.states import RunStatus
from pollenloom.dispatch.attempt_failure import AttemptFailure
from pollenloom.dispatch.backend_call import BackendCall
from pollenloom.dispatch.backend_client import BackendClient
from pollenloom.dispatch.backend_response import BackendResponse
from pollenloom.dispatch.discardable_response import DiscardableResponse
from pollenloom.dispatch.event_relay import EventRelay
from pollenloom.dispatch.grant_use import GrantUse
from pollenloom.dispatch.idle_timeout import IdleTimeout
from pollenloom.dispatch.refusal import read_refusal
from pollenloom.dispatch.request_headers import (
    REQUEST_ID,
    build_headers,
    forwarded_headers,
)
from pollenloom.kernel.clock import Clock
from pollenloom.settings.router_settings import DispatchSettings
from pollenloom.transport.bounded_body import (
    BodyTooLongError,
    read_bounded,
)
from pollenloom.transport.shielded_connector import ShieldedConnector

EVENT_STREAM: Final = 'text/event-stream'
MAX_RESPONSE_BYTES: Final = 16_777_216
CANCEL_TIMEOUT_SECONDS: Final = 1
# The response to a cancellation has no content that is used.
MAX_CANCEL_RESPONSE_BYTES: Final = 65_536

# The end of the response usually arrives with the last event or directly after
# it. If it takes longer than this, the connection is closed.
END_OF_STREAM_TIMEOUT_SECONDS: Final = 0.05

# Headers that aiohttp must not add if the caller did not send them.
CALLER_SUPPLIED_HEADERS: Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)

BODILESS_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value)
)


class HttpBackendClient(BackendClient):
    """Sends requests to model engines and applications with aiohttp.

    Attributes:
        sessions: Open sessions, by whether they reuse connections.
    """

    def __init__(self, clock: Clock, settings: DispatchSettings) -> None:
        self.clock = clock
        self.settings = settings
        self.sessions: dict[bool, aiohttp.ClientSession] = {}

    async def fetch(
        self,
        call: BackendCall,
        use: GrantUse,
    ) -> Result[BackendResponse, AttemptFailure]:
        """Send a request and read the complete response."""
        try:
            async with (
                asyncio.timeout(call.timeout_seconds),
                self.exchange(call, use) as response,
            ):
                return await read_response(call, use, response)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Error(failure_from_error(use, error))

    async def relay(
        self,
        call: BackendCall,
        use: GrantUse,
        relay: EventRelay,
    ) -> Result[BackendResponse, AttemptFailure]:
        """Send a request and relay the events of the response."""
        try:
            async with (
                asyncio.timeout(call.timeout_seconds),
                self.exchange(call, use) as response,
            ):
                if response.content_type != EVENT_STREAM:
                    return await read_response(call, use, response)
                return await relay_events(
                    call,
                    use,
                    response,
                    relay,
                    self.settings.idle_seconds,
                )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Error(failure_from_error(use, error))

    async def cancel(self, call: BackendCall) -> None:
        """Ask the server to cancel a request; failures are ignored."""
        request_id = call.request.request_id
        address = call.server.address
        session = self.sessions.get(True)
        if session is None:
            # The client was closed; servers also cancel a request if they lose
            # its connection.
            return
        try:
            async with session.post(
                URL(f'http://{address}/cancel/{request_id}', encoded=True),
                headers={'X-Request-Id': request_id},
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_SECONDS),
            ) as response:
                await read_bounded(response, MAX_CANCEL_RESPONSE_BYTES)
        except (aiohttp.ClientError, OSError, BodyTooLongError):
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
        """Send a request; keep the connection after a complete response."""
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
            if use.response_complete:
                response.release()
            elif isinstance(response, DiscardableResponse):
                response.discard()

    def session(self, *, reuse: bool) -> aiohttp.ClientSession:
        """Return the session that does or does not reuse connections.

        A request that is not repeatable gets a new connection. The server might
        be closing a reused one, and then it is unknown whether the request ran.
        """
        session = self.sessions.get(reuse)
        if session is None:
            session = self.open_session(reuse=reuse)
            self.sessions[reuse] = session
        return session

    def open_session(self, *, reuse: bool) -> aiohttp.ClientSession:
        """Open a session that sends each request once and unmodified."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(record_connection)
        trace.on_connection_reuseconn.append(record_connection)
        session = aiohttp.ClientSession(
            connector=ShieldedConnector(force_close=not reuse),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=CALLER_SUPPLIED_HEADERS,
            trace_configs=[trace],
            response_class=DiscardableResponse,
        )
        # aiohttp retries GET, PUT and DELETE if a reused connection breaks, but
        # only the dispatcher may decide on retries.
        session._retry_connection = False  # ruff: ignore[private-member-access] no public name
        return session


async def record_connection(  # ruff: ignore[unused-async] aiohttp awaits it
    _session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _parameters: Any,
) -> None:
    """Record that the request may reach the server from now on."""
    use: GrantUse | None = context.trace_request_ctx
    if use is not None:
        use.connected = True


async def read_response(
    call: BackendCall,
    use: GrantUse,
    response: aiohttp.ClientResponse,
) -> Result[BackendResponse, AttemptFailure]:
    """Read a response to its end and validate it."""
    fault = check_response(call, response)
    if fault is not None:
        return Error(fault)
    try:
        body = await read_bounded(response, MAX_RESPONSE_BYTES)
    except BodyTooLongError:
        return Error(protocol_failure('the response is longer than 16 MiB'))
    use.response_complete = True
    refusal = read_refusal(response.status, body)
    if refusal is not None:
        return Error(refusal)
    return Ok(make_response(call, response, body))


async def relay_events(
    call: BackendCall,
    use: GrantUse,
    response: aiohttp.ClientResponse,
    relay: EventRelay,
    idle_seconds: float,
) -> Result[BackendResponse, AttemptFailure]:
    """Relay the events of a stream up to the last one.

    `idle_seconds` limits the time between two pieces of the stream.
    """
    fault = check_response(call, response)
    if fault is not None:
        return Error(fault)
    content = response.content
    with IdleTimeout(response, idle_seconds) as idle_timeout:
        while piece := await content.readany():
            idle_timeout.waiting_since = None
            await relay.feed(piece)
            if relay.finished:
                break
            idle_timeout.waiting_since = idle_timeout.loop.time()
    if not relay.finished:
        return Error(
            truncated_failure('the stream ended before its last event')
        )
    use.response_complete = await is_at_end(response)
    return Ok(make_response(call, response, b''))


async def is_at_end(response: aiohttp.ClientResponse) -> bool:
    """Whether the response ends after the last event, within the timeout."""
    try:
        async with asyncio.timeout(END_OF_STREAM_TIMEOUT_SECONDS):
            return not await response.content.readany()
    except (aiohttp.ClientError, OSError):
        return False


def make_response(
    call: BackendCall,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> BackendResponse:
    """Return a validated response with the headers to forward."""
    return BackendResponse(
        status=response.status,
        headers=forwarded_headers(response.headers),
        body=body,
        server=call.server.server,
        version=call.server.version,
    )


def check_response(
    call: BackendCall,
    response: aiohttp.ClientResponse,
) -> AttemptFailure | None:
    """Check that a response belongs to the request and marks its end.

    Returns None if it does.
    """
    if response.headers.get(REQUEST_ID) != call.request.request_id:
        return AttemptFailure(
            kind=ErrorKind.BACKEND_FAILED,
            detail='the response carries the id of another request',
            run=RunStatus.UNKNOWN,
        )
    if not is_final_status(response.status):
        return AttemptFailure(
            kind=ErrorKind.BACKEND_FAILED,
            detail=f'status {response.status:03} is no response',
            run=RunStatus.UNKNOWN,
        )
    bodiless = (
        call.request.method == 'HEAD' or response.status in BODILESS_STATUSES
    )
    if bodiless or response.content_length is not None:
        return None
    if response.headers.get('transfer-encoding', '').lower() == 'chunked':
        return None
    return protocol_failure('the response does not mark its end')


def protocol_failure(detail: str) -> AttemptFailure:
    """Return the failure for a response that violates the protocol."""
    return AttemptFailure(
        kind=ErrorKind.BACKEND_FAILED,
        detail=detail,
        run=RunStatus.YES,
    )


def truncated_failure(detail: str) -> AttemptFailure:
    """Return the failure for a response that ended too early."""
    return AttemptFailure(
        kind=ErrorKind.RESPONSE_TRUNCATED,
        detail=detail,
        run=RunStatus.YES,
    )


def failure_from_error(use: GrantUse, error: Exception) -> AttemptFailure:
    """Return the failure for an attempt that raised an exception."""
    detail = describe_error(error)
    if not use.connected:
        return AttemptFailure(
            kind=ErrorKind.BACKEND_REFUSED,
            detail=f'no connection to the backend server: {detail}',
            run=RunStatus.NO,
        )
    if use.first_byte_at is None:
        return AttemptFailure(
            kind=ErrorKind.BACKEND_FAILED,
            detail=f'the backend server sent no response: {detail}',
            run=RunStatus.UNKNOWN,
        )
    return truncated_failure(f'the response was truncated: {detail}')


def describe_error(error: Exception) -> str:
    """Return a human-readable description of an exception."""
    if isinstance(error, aiohttp.SocketTimeoutError):
        return 'the server sent nothing within the timeout'
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return 'connecting timed out'
    if isinstance(error, TimeoutError):
        return 'the deadline passed'
    if isinstance(error, aiohttp.ClientPayloadError):
        return 'the body ended before its announced length'
    return str(error) or type(error).__name__
