"""A backend server that records requests and responds with set faults."""

import asyncio
import time
from enum import Enum, unique
from typing import Final

from pollenloom.platform import wire_names
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.node_run import NodeRun
from pollenloom_standins.worker.responses import (
    LAST_CHUNK,
    chunk,
    sealed_response,
    sealed_stream_head,
    server_entry,
)
from pollenloom_standins.worker.scripted_backend import (
    HEAD_END,
    ReceivedRequest,
    ScriptedBackend,
    reset,
)

EVENT_COUNT: Final = 8
SLOTS: Final = 40
EVENT_INTERVAL_SECONDS: Final = 0.02
PROCESSING_SECONDS: Final = 0.02
# A late second response meets the next one on the connection, or an idle one.
LATE_SECONDS: Final = 0.06


# Requests are told apart by the last digits of their ids.
HEX_BASE: Final = 16


@unique
class ResponseFault(Enum):
    """Faults of a server's responses.

    CUT breaks the connection within a response, by a reset or, where the
    response marks its end, also by an orderly close. FAIL responds with status
    500, REJECT with 503 as not run, EXTRA adds a second response that was not
    requested, at once or late, and SILENT never responds.
    """

    NONE = 'none'
    CUT = 'cut'
    FAIL = 'fail'
    REJECT = 'reject'
    EXTRA = 'extra'
    SILENT = 'silent'


class SoakBackend:
    """A backend server in this process.

    Attributes:
        server: Id, which no other start of a server has.
        fault: Fault of its responses.
        rate_limit: Requests a second that it says it takes; None if it names
            no limit.
        listed_address: Address in its store entry.
        scripted_backend: Listener that calls `serve` for each request.
    """

    def __init__(
        self,
        server: str,
        data_centre: str,
        history: NodeHistory,
    ) -> None:
        self.server = server
        self.data_centre = data_centre
        self.history = history
        self.fault = ResponseFault.NONE
        self.rate_limit: float | None = None
        self.listed_address = ''
        self.scripted_backend = ScriptedBackend(self.serve)

    async def start(self) -> None:
        """Start listening."""
        await self.scripted_backend.start()
        self.listed_address = self.scripted_backend.address

    async def stop(self) -> None:
        """Stop listening; open connections stay until the round ends."""
        await self.scripted_backend.stop()

    async def crash(self) -> None:
        """End like a process: no listener, no connections."""
        await self.scripted_backend.crash()

    def entry(self, *, is_leaving: bool) -> bytes:
        """Return the entry that the server writes to the store."""
        state = wire_names.STATE_READY
        if is_leaving:
            state = wire_names.STATE_DRAINING
        return server_entry(
            self.listed_address,
            zone=self.data_centre,
            slots=SLOTS,
            state=state,
            seq=time.time_ns(),
        )

    async def serve(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Record a request and respond to it."""
        run = self.record_request(request)
        if request.headers.get('x-pollenloom-expect-instance') != self.server:
            run.is_run = False
            await send(
                writer, sealed_response(run.request_id, b'', '421 Wrong')
            )
            return
        fault = self.fault
        if fault is ResponseFault.REJECT:
            run.is_run = False
            extra = b'X-Pollenloom-Not-Executed: 1\r\n'
            await send(
                writer, sealed_response(run.request_id, b'', '503 Full', extra)
            )
        elif fault is ResponseFault.SILENT:
            await asyncio.Event().wait()
        elif request.start_line.split()[1].startswith(('/stream/', '/resume/')):
            await self.send_stream(run, request, writer, fault)
        else:
            await self.send_response(run, writer, fault)

    def record_request(self, request: ReceivedRequest) -> NodeRun:
        """Add a request to the history and return its record."""
        headers = request.headers
        run = NodeRun(
            request_id=headers.get('x-pollenloom-attempt-id', ''),
            server=self.server,
            at=time.time(),
            start_line=request.start_line,
            account=headers.get('x-pollenloom-tenant', ''),
            has_key='api-key' in headers,
            body=request.body,
            rate_limit=self.rate_limit,
        )
        self.history.runs.append(run)
        return run

    async def send_response(
        self,
        run: NodeRun,
        writer: asyncio.StreamWriter,
        fault: ResponseFault,
    ) -> None:
        """Respond with one body."""
        await asyncio.sleep(PROCESSING_SECONDS)
        body = f'{run.request_id} {self.server}'.encode()
        if fault is ResponseFault.FAIL:
            await send(
                writer, sealed_response(run.request_id, b'failed', '500 Error')
            )
            return
        framed = name_limit(run, sealed_response(run.request_id, body))
        is_framed = marks_end(run.request_id)
        response = framed if is_framed else without_length(framed)
        if fault is ResponseFault.CUT:
            await send(writer, response[:-3])
            cut(run.request_id, writer)
            return
        run.is_sealed = True
        if fault is ResponseFault.EXTRA:
            extra = sealed_response(run.request_id, b'not asked for')
            if is_late(run.request_id):
                send_later(writer, extra)
            elif is_framed:
                response += extra
        await send(writer, response)
        if not is_framed:
            writer.close()

    async def send_stream(
        self,
        run: NodeRun,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: ResponseFault,
    ) -> None:
        """Respond with events after the last one that the caller has."""
        is_framed = marks_end(run.request_id)
        head = name_limit(run, sealed_stream_head(run.request_id))
        await send(writer, head if is_framed else without_length(head))
        first = int(request.headers.get('last-event-id') or 0) + 1
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            event = make_event(run.request_id, number)
            part = chunk(event) if is_framed else event
            if fault is ResponseFault.CUT and number > EVENT_COUNT // 2:
                await send(writer, part[:-6])
                cut(run.request_id, writer)
                return
            run.is_sealed = number == EVENT_COUNT
            await send(writer, part)
        if is_framed:
            await send(writer, LAST_CHUNK)
        else:
            writer.close()


def marks_end(request_id: str) -> bool:
    """Whether the response to a request marks its own end."""
    return int(request_id[-1], HEX_BASE) >= HEX_BASE // 4


def is_late(request_id: str) -> bool:
    """Whether a second response to a request is sent late."""
    return int(request_id[-2], HEX_BASE) < HEX_BASE // 2


def without_length(response: bytes) -> bytes:
    """Return a response that ends with its connection."""
    head, end, body = response.partition(HEAD_END)
    lines = [
        line
        for line in head.split(b'\r\n')
        if not line.startswith((b'Content-Length', b'Transfer-Encoding'))
    ]
    return b'\r\n'.join(lines) + end + body


def cut(request_id: str, writer: asyncio.StreamWriter) -> None:
    """End the connection of a response that is not complete."""
    if marks_end(request_id) and is_late(request_id):
        writer.transport.abort()
    else:
        reset(writer)


def send_later(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Write bytes after a while, whatever the connection is used for then."""
    loop = asyncio.get_running_loop()
    loop.call_later(LATE_SECONDS, write_if_open, writer, content)


def write_if_open(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Write bytes unless the connection is closed."""
    if not writer.is_closing():
        writer.write(content)


def name_limit(run: NodeRun, response: bytes) -> bytes:
    """Add the server's limit, if it has one, to the head of a response."""
    if run.rate_limit is None:
        return response
    line = b'\r\n%b: %.2f\r\n' % (wire_names.SERVER_LIMIT, run.rate_limit)
    return response.replace(b'\r\n', line, 1)


def make_event(request_id: str, number: int) -> bytes:
    """Return an event; the data of the last one ends with `end`."""
    last = ' end' if number == EVENT_COUNT else ''
    return f'id: {number}\ndata: {request_id} {number}{last}\n\n'.encode()


async def send(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Write bytes and wait until the buffer is drained."""
    writer.write(content)
    await writer.drain()
