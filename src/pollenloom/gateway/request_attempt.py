"""One attempt: sends a request to a server and passes the answer on."""

from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from pollenloom.admission.admission import Admission
from pollenloom.admission.grant import Grant
from pollenloom.admission.settlement import Settlement
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.states import Outcome
from pollenloom.gateway.attempt_end import (
    AttemptEnd,
    AttemptState,
    unanswered,
)
from pollenloom.gateway.event_splitter import EventSplitter
from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.headers import CONTENT_LENGTH, Header, find, render
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.response_writer import ResponseWriter
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_event import (
    ChannelEnd,
    ResponseHead,
    ServerEvent,
)
from pollenloom.gateway.server_links import ServerLinks
from pollenloom.kernel.clock import Clock

HEAD_METHOD: Final = b'HEAD'
FIRST_FAILURE_STATUS: Final = 500


@dataclass(slots=True)
class RequestAttempt:
    """State of one attempt.

    Attributes:
        outcome: What the settlement will tell of the server.
        sent_at: When the request was written, monotonic seconds.
        first_byte: Seconds from then to the first byte of the body, or to a
            head without one.
    """

    call: PendingCall
    grant: Grant
    writer: ResponseWriter
    splitter: EventSplitter
    clock: Clock
    header_codec: HeaderCodec
    admission: Admission
    outcome: Outcome = Outcome.UNUSED
    sent_at: float = 0
    first_byte: float | None = None
    is_cold: bool = False
    is_misdirected: bool = False
    had_run: bool = False
    body: list[bytes] = field(default_factory=list)

    async def run(self, links: ServerLinks) -> AttemptEnd:
        """Run the attempt; the grant is settled whatever happens."""
        with ExitStack() as stack:
            stack.callback(self.settle)
            taken = await links.take(
                self.grant.server,
                is_repeatable=self.call.route.is_repeatable,
            )
            if taken.is_error():
                self.outcome = Outcome.FAILED
                return AttemptEnd(AttemptState.UNSENT, taken.error)
            stack.callback(self.give_back, taken.ok, links)
            # Unless an answer tells otherwise, the caller left in between.
            self.outcome = Outcome.CANCELLED
            return await self.converse(taken.ok)

    def give_back(self, channel: ServerChannel, links: ServerLinks) -> None:
        """Keep a connection whose answer was read to its end."""
        if channel.is_over and not channel.events:
            links.put_back(self.grant.server, channel)
        else:
            channel.abort()

    async def converse(self, channel: ServerChannel) -> AttemptEnd:
        """Send the request and pass the answer on."""
        request = self.call.request
        self.sent_at = self.clock.monotonic()
        self.had_run = self.call.has_run
        channel.begin(
            self.call.metadata.request_id.encode('latin-1'),
            is_head=request.method == HEAD_METHOD,
        )
        # From here on only an answer can prove that nothing ran.
        self.call.sends += 1
        self.call.has_run = True
        channel.transport.write(self.request_bytes())
        event = await channel.next_event()
        if not isinstance(event, ResponseHead):
            return self.failed(f'no answer, the connection was {told(event)}')
        self.is_cold = self.header_codec.cold_seconds(event) > 0
        if self.header_codec.is_not_run(event):
            return await self.rejected(event, channel)
        return await self.take_answer(event, channel)

    def request_bytes(self) -> bytes:
        """Return the request as the server gets it."""
        request = self.call.request
        headers: list[Header] = self.header_codec.server_headers(
            request,
            self.grant.server.server,
            self.call.account,
            self.call.deadline - self.sent_at,
            self.splitter.last_event,
        )
        if request.body or find(request.headers, CONTENT_LENGTH) is not None:
            headers.append((CONTENT_LENGTH, b'%d' % len(request.body)))
        start_line = b'%b %b HTTP/1.1' % (request.method, request.target)
        return render(start_line, headers) + request.body

    async def rejected(
        self,
        head: ResponseHead,
        channel: ServerChannel,
    ) -> AttemptEnd:
        """Take the rest of a rejection."""
        self.outcome = Outcome.REFUSED
        self.call.has_run = self.had_run
        self.is_misdirected = self.header_codec.is_misdirected(head)
        self.first_byte = self.clock.monotonic() - self.sent_at
        await self.read_body(channel)
        if head.status == HTTPStatus.BAD_REQUEST:
            await self.writer.write_whole(head, b''.join(self.body))
            return AttemptEnd(AttemptState.ANSWERED, status=head.status)
        detail = f'{self.grant.server.server} rejected it: {head.status}'
        return AttemptEnd(
            AttemptState.REJECTED,
            Failure(ErrorKind.BACKEND_REFUSED, detail),
            head.status,
        )

    async def take_answer(
        self,
        head: ResponseHead,
        channel: ServerChannel,
    ) -> AttemptEnd:
        """Pass on an answer of a request that ran."""
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_success and not self.header_codec.is_sealed(head):
            return self.failed(f'status {head.status} without a seal')
        if is_success and self.call.is_stream:
            return await self.relay_stream(head, channel)
        end = await self.read_body(channel)
        if end is not ChannelEnd.COMPLETE:
            return self.failed(f'the answer was {end.value}')
        body = b''.join(self.body)
        self.note_first_byte()
        if head.status >= FIRST_FAILURE_STATUS:
            self.outcome = Outcome.FAILED
            if self.call.may_repeat(self.clock.monotonic()):
                return self.failed(f'status {head.status}')
        else:
            self.outcome = Outcome.SERVED
        length = None
        if self.call.request.method == HEAD_METHOD:
            length = find(head.headers, CONTENT_LENGTH)
        await self.writer.write_whole(head, body, length=length)
        return AttemptEnd(AttemptState.ANSWERED, status=head.status)

    async def read_body(self, channel: ServerChannel) -> ChannelEnd:
        """Read to the end of an answer."""
        while True:
            event = await channel.next_event()
            if isinstance(event, ChannelEnd):
                return event
            if isinstance(event, bytes):
                self.body.append(event)

    async def relay_stream(
        self,
        head: ResponseHead,
        channel: ServerChannel,
    ) -> AttemptEnd:
        """Pass events on as they come."""
        while True:
            event = await channel.next_event()
            if isinstance(event, bytes):
                self.note_first_byte()
                await self.pass_events(head, self.splitter.take(event))
            elif event is ChannelEnd.COMPLETE:
                await self.pass_events(head, self.splitter.rest)
                if not self.writer.is_begun:
                    await self.writer.begin(head)
                self.outcome = Outcome.SERVED
                await self.writer.end()
                return AttemptEnd(AttemptState.ANSWERED, status=head.status)
            else:
                self.splitter.drop_rest()
                return self.failed(f'the stream was {told(event)}')

    async def pass_events(self, head: ResponseHead, events: bytes) -> None:
        """Write whole events, and before the first of them the head."""
        if not events:
            return
        if not self.writer.is_begun:
            await self.writer.begin(head)
        await self.writer.write_part(events)

    def note_first_byte(self) -> None:
        """Tell admission how long the first byte took."""
        if self.first_byte is None:
            self.first_byte = self.clock.monotonic() - self.sent_at
            self.admission.observe_first_byte(self.grant, self.first_byte)

    def failed(self, detail: str) -> AttemptEnd:
        """Return the end of an attempt that may have run."""
        self.outcome = Outcome.FAILED
        failure = Failure(
            ErrorKind.BACKEND_FAILED,
            f'{self.grant.server.server}: {detail}',
        )
        return unanswered(
            failure,
            has_run=True,
            is_begun=self.writer.is_begun,
        )

    def settle(self) -> None:
        """Give the grant back."""
        self.admission.settle(
            Settlement(
                grant=self.grant,
                outcome=self.outcome,
                cost=self.grant.charged,
                first_byte_seconds=self.first_byte,
                server_cold=self.is_cold,
                server_leaving=self.is_misdirected,
            )
        )


def told(event: ServerEvent) -> str:
    """Return how a connection ended, for a log line."""
    if isinstance(event, ChannelEnd):
        return event.value
    return 'used for bytes that are no answer'
