"""HTTP service of the engine stand-in."""

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec
from aiohttp import web

from pollenloom_standins.backend.backend_service import BackendService
from pollenloom_standins.backend.run_history import RunOutcome
from pollenloom_standins.engine.cache_events import CacheEventLog
from pollenloom_standins.engine.completion import Completion
from pollenloom_standins.engine.completion_request import CompletionRequest
from pollenloom_standins.engine.prefix_cache import PrefixCache
from pollenloom_standins.engine.response_format import ChatFormat, TextFormat
from pollenloom_standins.serving.json_responses import (
    json_response,
    read_header_number,
    read_query_number,
)

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock
    from pollenloom_standins.backend.backend_settings import BackendSettings
    from pollenloom_standins.backend.call import Call
    from pollenloom_standins.engine.engine_settings import EngineSettings

CHAT_PATH: Final = '/v1/chat/completions'
TEXT_PATH: Final = '/v1/completions'
# Responses that are not streams take fewer, longer steps, since nothing is
# sent for each token.
TOKENS_PER_STEP: Final = 8


class EngineService(BackendService):
    """Generates tokens at the speed of a model engine."""

    def __init__(
        self,
        clock: 'Clock',
        settings: 'BackendSettings',
        engine_settings: 'EngineSettings',
    ) -> None:
        super().__init__(clock, settings)
        self.engine_settings = engine_settings
        self.cache = PrefixCache(engine_settings.cache_blocks)
        self.cache_events = CacheEventLog(
            engine_settings.cache_event_lag_seconds,
            engine_settings.cache_event_loss,
            settings.seed,
        )
        self.previous: Completion | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of a model engine."""
        return [
            web.post(CHAT_PATH, self.handle),
            web.post(TEXT_PATH, self.handle),
            web.get('/cache-events', self.report_cache_events),
        ]

    async def respond(self, call: 'Call') -> web.StreamResponse:
        """Run a completion; an invalid body gets status 400."""
        try:
            request = msgspec.json.decode(call.body, type=CompletionRequest)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return json_response(
                {'error': {'message': str(error)}},
                HTTPStatus.BAD_REQUEST,
            )
        completion = self.select_completion(
            call, self.make_completion(call, request)
        )
        await self.prefill(call, completion)
        if completion.request.stream:
            return await self.stream(call, completion)
        return await self.respond_complete(call, completion)

    def make_completion(
        self, call: 'Call', request: CompletionRequest
    ) -> Completion:
        """Return the correct response to a request."""
        chat = call.request.path == CHAT_PATH
        return Completion(
            request=request,
            request_id=call.request_id,
            response_format=ChatFormat() if chat else TextFormat(),
            created=int(self.clock.wall()),
            version=self.settings.version,
        )

    def select_completion(
        self,
        call: 'Call',
        completion: Completion,
    ) -> Completion:
        """Return the response to send: the previous one if crossed."""
        previous = self.previous
        self.previous = completion
        if not call.plan.crossed:
            return completion
        source = previous or completion
        other = Completion(
            request=msgspec.structs.replace(
                source.request,
                stream=completion.request.stream,
            ),
            request_id=previous.request_id if previous else 'crossed',
            response_format=completion.response_format,
            created=source.created,
            version=source.version,
        )
        call.crossed_id = other.request_id
        return other

    async def prefill(self, call: 'Call', completion: Completion) -> None:
        """Process the prompt; its cached prefixes take no time."""
        hashes = read_prefix_hashes(call.request)
        cached = self.cache.cached_fraction(hashes)
        prompt_tokens = completion.tokens.prompt_tokens
        uncached = prompt_tokens * (1 - cached)
        call.record.cached = cached
        call.record.prompt_tokens = prompt_tokens
        call.record.uncached_tokens = uncached
        await self.simulate_step(
            call, uncached * self.engine_settings.prefill_token_seconds
        )
        change = self.cache.store(hashes)
        self.cache_events.add(change, self.clock.monotonic())

    async def respond_complete(
        self,
        call: 'Call',
        completion: Completion,
    ) -> web.StreamResponse:
        """Generate all tokens, then send them as JSON."""
        for done in range(0, completion.length, TOKENS_PER_STEP):
            step = min(TOKENS_PER_STEP, completion.length - done)
            await self.simulate_step(
                call, step * self.engine_settings.token_seconds
            )
            call.record.tokens += step
        await self.delay_response(call)
        return await self.send_complete(call, completion.body())

    async def stream(
        self,
        call: 'Call',
        completion: Completion,
    ) -> web.StreamResponse:
        """Send tokens as they are generated, from `X-Resume-From` on."""
        resumed_from = read_header_number(call.request, 'X-Resume-From')
        await self.delay_response(call)
        response = web.StreamResponse(headers=call.response_headers)
        response.content_type = 'text/event-stream'
        await response.prepare(call.request)
        for index in range(resumed_from, completion.length):
            if await self.apply_stream_fault(call, index - resumed_from):
                return response
            await self.simulate_step(call, self.engine_settings.token_seconds)
            call.record.tokens += 1
            await response.write(completion.token_event(index))
        if await self.apply_stream_fault(call, call.plan.events_before):
            return response
        closing = tuple(completion.closing_events())
        for event in closing[max(resumed_from - completion.length, 0) :]:
            await response.write(event)
        await response.write_eof()
        return response

    async def apply_stream_fault(self, call: 'Call', sent: int) -> bool:
        """Return whether a fault ends the stream after `sent` events.

        A fault that aborts the connection does not return.
        """
        if sent < call.plan.events_before:
            return False
        if call.plan.aborted:
            await self.abort(call)
        if call.plan.cut:
            call.record.outcome = RunOutcome.CUT
        return call.plan.cut

    async def report_cache_events(self, request: web.Request) -> web.Response:
        """Return a page of cache events."""
        await self.switches.unfrozen.wait()
        start = read_query_number(request, 'from', 0)
        page = self.cache_events.page(start, self.clock.monotonic())
        return json_response(page)


def read_prefix_hashes(request: web.Request) -> tuple[int, ...]:
    """Return the prompt's prefix hashes, shortest prefix first.

    Raises:
        web.HTTPBadRequest: If the header is not a list of numbers.
    """
    text = request.headers.get('X-Prefix-Hashes', '')
    parts = [part.strip() for part in text.split(',') if part.strip()]
    if not all(part.isdecimal() for part in parts):
        raise web.HTTPBadRequest(text='X-Prefix-Hashes: not numbers\n')
    return tuple(int(part) for part in parts)
