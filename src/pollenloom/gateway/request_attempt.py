"""Sends a request to one backend server and relays the response."""

import asyncio
from contextlib import ExitStack
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from pollenloom.admission.admission import Admission
from pollenloom.admission.grant import Grant
from pollenloom.admission.settlement import Settlement
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.states import Outcome
from pollenloom.frontend.stop_limits import StopLimits
from pollenloom.gateway.attempt_end import (
    AttemptEnd,
    AttemptState,
    make_unanswered_end,
)
from pollenloom.gateway.body_writing import write_message
from pollenloom.gateway.embedded_response import EmbeddedResponseSearch
from pollenloom.gateway.event_splitter import EventSplitter
from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.headers import (
    CONTENT_LENGTH,
    CONTENT_TYPE,
    Header,
    find_header,
    render,
)
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.prompt_guard import PromptGuard
from pollenloom.gateway.response_body import ResponseBody
from pollenloom.gateway.response_trace import Framing, ResponseTrace
from pollenloom.gateway.response_watch import ResponseWatch
from pollenloom.gateway.response_writer import ResponseWriter
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_checks import ServerChecks
from pollenloom.gateway.server_connection_pool import ServerConnectionPool
from pollenloom.gateway.server_event import (
    ChannelEnd,
    ResponseHead,
    ServerEvent,
)
from pollenloom.kernel.clock import Clock

HEAD_METHOD: Final = b'HEAD'
EVENT_STREAM: Final = b'text/event-stream'
FIRST_SERVER_ERROR_STATUS: Final = 500
# Bodies of rejections are short; a longer wait for one delays the next attempt.
REJECTION_BODY_SECONDS: Final = 0.25
# A grant is used within this time, also if the machine was suspended, which
# monotonic time does not count. Operators expect changes, such as a server
# that leaves, to be in force after 2 s.
MAX_SEND_DELAY_SECONDS: Final = 1.5
# A server that is in use sends the first byte within this time, so other
# connections may be as silent as the one that carried the request.
SILENCE_SECONDS: Final = 1.0
# Time in which the rest of a head follows whose start ends a body.
FOLLOWING_SECONDS: Final = 0.02
# Callers take these for a promise that the request was not run. Of a server
# only its statement is one.
PROMISE_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# Ends that a crash of the server brings about.
LOST_CONNECTION: Final = frozenset(
    (
        ChannelEnd.CLOSED,
        ChannelEnd.RESET,
        ChannelEnd.REQUEST_UNREAD,
        ChannelEnd.SERVER_LOST,
    )
)


@dataclass(slots=True)
class RequestAttempt:
    """One attempt to send a request under a grant.

    Attributes:
        stop_limits: Whether the request may still be passed on; a planned stop
            can end that while a connection is being opened.
        began_at: Time of the grant, seconds since the start of the machine.
        body: Body received so far, unless it is streamed.
        outcome: Outcome that the settlement will report.
        sent_at: Monotonic time in seconds when the request was written.
        first_byte_seconds: Seconds from `sent_at` to the first byte of a
            stream, the end of any other response or the head of a rejection;
            None before that.
        is_cold: Whether the server reported that it is cold.
        is_misdirected: Whether the address belongs to another server now.
        may_have_run_before: Whether an earlier attempt may have run.
        answer: Number of the begun answer for the prompt guard.
        streamed_bytes: Bytes of the events relayed so far.
    """

    call: PendingCall
    grant: Grant
    writer: ResponseWriter
    splitter: EventSplitter
    clock: Clock
    header_codec: HeaderCodec
    admission: Admission
    prompt_guard: PromptGuard
    server_checks: ServerChecks
    stop_limits: StopLimits
    began_at: float
    body: ResponseBody
    outcome: Outcome = Outcome.UNUSED
    sent_at: float = 0
    first_byte_seconds: float | None = None
    is_cold: bool = False
    is_misdirected: bool = False
    may_have_run_before: bool = False
    answer: int | None = None
    streamed_bytes: int = 0

    async def run(self, connection_pool: ServerConnectionPool) -> AttemptEnd:
        """Run the attempt and settle the grant in every case."""
        with ExitStack() as stack:
            stack.callback(self.settle)
            acquired = await connection_pool.acquire(
                self.grant.server,
                is_repeatable=self.call.route.is_repeatable,
            )
            if acquired.is_error():
                self.outcome = Outcome.FAILED
                return AttemptEnd(AttemptState.UNSENT, acquired.error)
            stack.callback(
                self.release_connection, acquired.ok, connection_pool
            )
            if is_expired(self.grant, self.began_at, self.clock):
                return AttemptEnd(
                    AttemptState.UNSENT,
                    Failure(ErrorKind.NO_CAPACITY, 'the grant has expired'),
                )
            call = self.call
            if not self.stop_limits.may_send(call.route.route, call.deadline):
                return AttemptEnd(
                    AttemptState.UNSENT,
                    Failure(ErrorKind.SHUTTING_DOWN, 'the router stops'),
                )
            # Stays if the task is cancelled, because the caller disconnected or
            # the deadline passed.
            self.outcome = Outcome.CANCELLED
            return await self.exchange(acquired.ok)

    def release_connection(
        self, channel: ServerChannel, connection_pool: ServerConnectionPool
    ) -> None:
        """Return a connection to the pool after a complete response."""
        has_events = bool(channel.queue.events)
        self.body.drop()
        channel.queue.clear()
        if channel.response_ended and not has_events:
            connection_pool.release(self.grant.server, channel)
            return
        waited = self.clock.monotonic() - self.sent_at
        if (
            self.sent_at
            and not channel.request.has_begun
            and waited >= SILENCE_SECONDS
        ):
            connection_pool.discard_silent(self.grant.server, self.sent_at)
        channel.abort()

    async def exchange(self, channel: ServerChannel) -> AttemptEnd:
        """Send the request and relay the response."""
        request = self.call.request
        self.sent_at = self.clock.monotonic()
        self.may_have_run_before = self.call.may_have_run
        channel.expect_response(
            self.call.metadata.request_id.encode('latin-1'),
            is_head_request=request.method == HEAD_METHOD,
        )
        channel.queue.end_caller = self.writer.drop_slow_caller
        # From here on only a response can prove that the request did not run.
        self.call.send_count += 1
        self.call.may_have_run = True
        self.write_request(channel)
        self.call.trace = None
        event = await channel.next_event()
        if not isinstance(event, ResponseHead):
            return self.fail_response(channel.request.description, event)
        trace = ResponseTrace(
            Framing.from_head(event), channel.history.is_reused
        )
        self.call.trace = trace
        response_id = find_header(event.headers, channel.id_header)
        if not channel.history.is_answer(response_id):
            self.first_byte_seconds = self.clock.monotonic() - self.sent_at
            return self.fail_attempt(
                f'status {event.status} may answer an earlier request'
            )
        self.is_cold = self.header_codec.cold_seconds(event) > 0
        notice = self.header_codec.server_notice(event)
        self.admission.observe_notice(self.grant, notice)
        if notice.is_rejection:
            return await self.handle_rejection(event, channel)
        with self.server_checks.watch(
            self.call, self.grant.server, channel, event
        ) as watch:
            return await self.handle_response(event, watch)

    def write_request(self, channel: ServerChannel) -> None:
        """Write the request."""
        request = self.call.request
        headers: list[Header] = self.header_codec.server_headers(
            request,
            self.grant.server.server,
            self.call.account,
            self.call.deadline - self.sent_at,
            self.splitter.last_event_id,
        )
        if (
            request.body
            or find_header(request.headers, CONTENT_LENGTH) is not None
        ):
            headers.append((CONTENT_LENGTH, b'%d' % len(request.body)))
        start_line = b'%b %b HTTP/1.1' % (request.method, request.target)
        write_message(
            channel.transport, render(start_line, headers), request.body
        )

    async def handle_rejection(
        self,
        head: ResponseHead,
        channel: ServerChannel,
    ) -> AttemptEnd:
        """Read the body of a rejection; relay a 400 that is complete.

        After any other rejection the request may be sent to another server.
        """
        channel.history.mark_refused()
        self.outcome = Outcome.REFUSED
        self.call.may_have_run = self.may_have_run_before
        self.is_misdirected = self.header_codec.is_misdirected(head)
        self.first_byte_seconds = self.clock.monotonic() - self.sent_at
        try:
            async with asyncio.timeout(REJECTION_BODY_SECONDS):
                end = await self.read_body(channel)
        except TimeoutError:
            end = ChannelEnd.SILENT
        if (
            head.status == HTTPStatus.BAD_REQUEST
            and end is ChannelEnd.COMPLETE
            and not self.writer.has_started
        ):
            await self.writer.write_response(head, self.body.content)
            return AttemptEnd(AttemptState.ANSWERED, status=head.status)
        detail = (
            f'{self.grant.server.server}: rejected with status {head.status}'
        )
        return AttemptEnd(
            AttemptState.REJECTED,
            Failure(ErrorKind.BACKEND_REFUSED, detail),
            head.status,
        )

    async def handle_response(
        self,
        head: ResponseHead,
        watch: ResponseWatch,
    ) -> AttemptEnd:
        """Relay the response to a request that ran."""
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        if self.writer.has_started and not is_success:
            # An earlier attempt has relayed a part of a stream, behind which
            # no other response may be written.
            return self.fail_attempt(f'status {head.status} instead of events')
        if is_success and not self.header_codec.is_sealed(head):
            return self.fail_attempt(
                f'status {head.status} without response seal'
            )
        if is_success and self.call.is_stream:
            return await self.relay_stream(head, watch)
        end = await self.server_checks.confirm_end(
            watch, await self.read_body(watch.channel)
        )
        if end is not ChannelEnd.COMPLETE:
            return self.fail_response('incomplete response', end)
        self.record_first_byte()
        if head.status in PROMISE_STATUSES:
            return self.fail_attempt(
                f'status {head.status} without the statement "not run"'
            )
        if head.status >= FIRST_SERVER_ERROR_STATUS:
            self.outcome = Outcome.FAILED
            if self.call.may_retry(self.clock.monotonic()):
                return self.fail_attempt(f'status {head.status}')
        else:
            self.outcome = Outcome.SERVED
        content_length = None
        if self.call.request.method == HEAD_METHOD:
            content_length = find_header(head.headers, CONTENT_LENGTH)
        await self.writer.write_response(
            head, self.body.content, content_length=content_length
        )
        return AttemptEnd(AttemptState.ANSWERED, status=head.status)

    async def read_body(self, channel: ServerChannel) -> ChannelEnd:
        """Read a response into `body`; close one that is too long."""
        while True:
            event = await channel.next_event()
            if isinstance(event, ChannelEnd):
                if self.body.search.ends_in_head:
                    await asyncio.sleep(FOLLOWING_SECONDS)
                return self.body.check_end(
                    event, has_bytes_behind=channel.request.has_bytes_behind
                )
            if isinstance(event, bytes):
                self.call.count_body(event)
                self.body.add(event)
            if self.body.is_too_long:
                channel.abort()
                return ChannelEnd.TOO_LONG

    async def relay_stream(
        self,
        head: ResponseHead,
        watch: ResponseWatch,
    ) -> AttemptEnd:
        """Relay the events of a stream as they arrive."""
        search = EmbeddedResponseSearch(self.header_codec)
        while True:
            event = await watch.channel.next_event()
            if isinstance(event, ChannelEnd):
                event = await self.server_checks.confirm_end(watch, event)
            if isinstance(event, bytes):
                self.call.count_body(event)
                self.record_first_byte()
                if search.feed(event):
                    return self.fail_stream(ChannelEnd.MIXED)
                await self.write_events(head, self.splitter.feed(event))
                watch.channel.queue.keep_only(len(self.splitter.partial))
                if self.splitter.is_too_long:
                    return self.fail_stream(ChannelEnd.TOO_LONG)
            elif event is ChannelEnd.COMPLETE:
                return await self.end_stream(head)
            else:
                return self.fail_stream(event)

    async def end_stream(self, head: ResponseHead) -> AttemptEnd:
        """Complete the response to the caller, unless it was broken off."""
        if self.ends_inside_event(head):
            return self.fail_stream(ChannelEnd.CLOSED)
        await self.write_events(head, bytes(self.splitter.partial))
        if not self.writer.has_started:
            await self.writer.start(head)
        self.outcome = Outcome.SERVED
        await self.writer.finish()
        return AttemptEnd(AttemptState.ANSWERED, status=head.status)

    def ends_inside_event(self, head: ResponseHead) -> bool:
        """Whether a response that has ended breaks off within an event.

        A complete response that is no event stream has no events, but it
        cannot continue one. Where only the closed connection marks the end, a
        server that crashes looks like one that is done, and one that has sent
        no event has broken off.
        """
        if not head.is_framed:
            return bool(self.splitter.partial) or not self.streamed_bytes
        if not self.splitter.partial:
            return False
        return self.writer.has_started or is_event_stream(head)

    def fail_stream(self, event: ServerEvent) -> AttemptEnd:
        """Fail a stream that ended or is to be closed before its last event."""
        self.splitter.drop_partial()
        return self.fail_response('incomplete stream', event)

    def fail_response(self, problem: str, event: ServerEvent) -> AttemptEnd:
        """Fail an attempt whose connection ended before the response."""
        if event in LOST_CONNECTION:
            self.prompt_guard.connection_lost(
                self.call,
                self.grant,
                self.answered_seconds(self.clock.monotonic()),
                self.answer,
            )
        return self.fail_attempt(
            f'{problem}, connection was {describe_end(event)}'
        )

    async def write_events(self, head: ResponseHead, events: bytes) -> None:
        """Write complete events, preceded by the head if it is not sent yet."""
        if not events:
            return
        if not self.writer.has_started:
            await self.writer.start(head)
        self.streamed_bytes += len(events)
        await self.writer.write_chunk(events)

    def record_first_byte(self) -> None:
        """Report the time to the first byte to admission, once."""
        if self.first_byte_seconds is None:
            now = self.clock.monotonic()
            self.first_byte_seconds = now - self.sent_at
            self.admission.observe_first_byte(
                self.grant, self.first_byte_seconds
            )
            self.answer = self.prompt_guard.answer_began(
                self.call, self.grant, now
            )

    def answered_seconds(self, now: float) -> float | None:
        """Return the seconds since the first byte; None if there was none."""
        if self.first_byte_seconds is None:
            return None
        return now - self.sent_at - self.first_byte_seconds

    def fail_attempt(self, detail: str) -> AttemptEnd:
        """Mark the attempt as failed and perhaps run; return its end."""
        self.outcome = Outcome.FAILED
        failure = Failure(
            ErrorKind.BACKEND_FAILED,
            f'{self.grant.server.server}: {detail}',
        )
        return make_unanswered_end(
            failure,
            may_have_run=True,
            has_started=self.writer.has_started,
        )

    def settle(self) -> None:
        """Report the outcome of the grant to admission.

        The bytes of a stream stand for its tokens, which are not counted here.
        """
        duration = None
        if self.sent_at:
            duration = self.clock.monotonic() - self.sent_at
        self.admission.settle(
            Settlement(
                grant=self.grant,
                outcome=self.outcome,
                cost=self.streamed_bytes or self.grant.charged,
                first_byte_seconds=self.first_byte_seconds,
                duration_seconds=duration,
                server_cold=self.is_cold,
                server_leaving=self.is_misdirected,
            )
        )


def describe_end(event: ServerEvent) -> str:
    """Return how the response ended, for log lines."""
    if isinstance(event, ChannelEnd):
        return event.value
    return 'used for unexpected bytes'


def is_event_stream(head: ResponseHead) -> bool:
    """Whether the body of a response is an event stream."""
    content_type = find_header(head.headers, CONTENT_TYPE) or b''
    return content_type.partition(b';')[0].strip().lower() == EVENT_STREAM


def is_expired(grant: Grant, began_at: float, clock: Clock) -> bool:
    """Whether a grant is too old to be used.

    The process may have been paused while it connected, and the server may not
    be used any more, or not at this moment.

    Args:
        grant: The grant.
        began_at: When it was given, seconds since the start of the machine.
        clock: Source of the present time.
    """
    waited = clock.uptime() - began_at
    return grant.is_expired(clock.monotonic()) or (
        waited >= MAX_SEND_DELAY_SECONDS
    )
