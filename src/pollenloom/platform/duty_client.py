"""HTTP client of the calls that only the holder of a duty makes."""

import asyncio
import re
import socket
import struct
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import msgspec
from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.host_port import split_address
from pollenloom.duties.duty_calls import DutyCalls
from pollenloom.duties.duty_proof import DutyProof
from pollenloom.platform import wire_names
from pollenloom.scaling.server_order import ServerOrder
from pollenloom.usage.usage_report import UsageReport

# A call under a proof takes at most this time.
CALL_SECONDS: Final = 1.0
MAX_HEAD_BYTES: Final = 16_384
# On, with a linger time of zero: what is not sent yet is dropped, and the
# connection is reset.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] ([0-9]{3})(?: |\r\n)')
RETRY_AFTER: Final = re.compile(
    rb'\r\nretry-after:[ \t]*([0-9]{1,6}(?:\.[0-9]{1,6})?)[ \t]*\r\n',
    re.IGNORECASE,
)
# Statuses that state that nothing was done.
REFUSALS: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)

ValidSeconds = Callable[[DutyProof], float]


@dataclass(slots=True)
class CallProgress:
    """Whether a call may have taken effect.

    Attributes:
        is_sent: Whether any byte of the request was written.
    """

    is_sent: bool = False


class DutyClient(DutyCalls):
    """Makes each call on a connection of its own.

    A proof may end while a connection is opened, for example because the
    machine was frozen, so it is checked again directly before the request is
    written. A call that is still open at its end is reset, so that bytes
    which are held up do not arrive after the calls of the next holder.

    Attributes:
        address: `host:port` of the platform.
        valid_seconds: Returns for how long a proof is still valid.
    """

    def __init__(self, address: str, valid_seconds: ValidSeconds) -> None:
        self.address = address
        self.valid_seconds = valid_seconds

    async def start(self) -> None:
        """Do nothing; connections are opened for each call."""

    async def stop(self) -> None:
        """Do nothing; the calls end with their tasks."""

    async def report_usage(
        self, proof: DutyProof, report: UsageReport
    ) -> Result[None, Failure]:
        """Report the requests of a window; see `DutyCalls`."""
        return await self.call(
            proof,
            '/usage',
            {'window_id': report.window, 'counts': dict(report.began)},
        )

    async def order_servers(
        self, proof: DutyProof, order: ServerOrder
    ) -> Result[None, Failure]:
        """Order a number of servers; see `DutyCalls`."""
        return await self.call(
            proof,
            '/scale',
            {
                'service': order.service,
                'zone': order.data_centre,
                'desired': order.desired,
            },
        )

    async def call(
        self, proof: DutyProof, path: str, content: Mapping[str, object]
    ) -> Result[None, Failure]:
        """Make one call within the time of its proof."""
        request = self.render(proof, path, msgspec.json.encode(content))
        progress = CallProgress()
        try:
            async with asyncio.timeout(
                min(CALL_SECONDS, self.valid_seconds(proof))
            ):
                head = await self.exchange(proof, request, progress)
        except (OSError, EOFError, asyncio.LimitOverrunError) as error:
            kind = ErrorKind.PLATFORM_UNAVAILABLE
            if progress.is_sent:
                kind = ErrorKind.PLATFORM_UNKNOWN
            return Error(Failure(kind, f'{path[1:]}: {error!r}'))
        return read_status(path, head)

    async def exchange(
        self, proof: DutyProof, request: bytes, progress: CallProgress
    ) -> bytes:
        """Send a request; return the head of its response.

        Raises:
            OSError: If the connection failed, or the proof has ended.
            EOFError: If it was closed before the response was complete.
        """
        reader, writer = await asyncio.open_connection(
            *split_address(self.address), limit=MAX_HEAD_BYTES
        )
        with ExitStack() as stack:
            stack.callback(writer.transport.abort)
            connection: socket.socket = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            if self.valid_seconds(proof) <= 0:
                raise TimeoutError('the proof has ended')
            progress.is_sent = True
            writer.write(request)
            return await reader.readuntil(b'\r\n\r\n')

    def render(self, proof: DutyProof, path: str, body: bytes) -> bytes:
        """Return the bytes of a request."""
        lines = (
            f'POST {path} HTTP/1.1',
            f'Host: {self.address}',
            f'{wire_names.DUTY_HOLDER}: {proof.holder}',
            f'{wire_names.FENCING_TOKEN}: {proof.number}',
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
            'Connection: close',
            '',
            '',
        )
        return '\r\n'.join(lines).encode() + body


def read_status(path: str, head: bytes) -> Result[None, Failure]:
    """Return the outcome of a call from the head of its response."""
    matched = STATUS_LINE.match(head)
    if matched is None:
        detail = f'{path[1:]}: no response of HTTP'
        return Error(Failure(ErrorKind.PLATFORM_UNKNOWN, detail))
    status = int(matched.group(1))
    detail = f'{path[1:]}: status {status}'
    if status == HTTPStatus.OK:
        return Ok(None)
    is_refusal = (
        status in REFUSALS
        or HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    if not is_refusal:
        return Error(Failure(ErrorKind.PLATFORM_UNKNOWN, detail))
    found = RETRY_AFTER.search(head)
    seconds = float(found.group(1)) if found else None
    return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail, seconds))
